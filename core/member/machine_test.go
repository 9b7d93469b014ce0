package member

import (
	"reflect"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

// machine applies random events to a View and tracks what check needs to verify
// its verdicts.
type machine struct {
	v              *View
	now            time.Time
	list           VMs
	leaving        map[call.VMID]uint64 // incarnation that said that it is leaving
	newest         map[call.VMID]uint64 // newest incarnation received
	opinionSources map[call.VMID]bool   // the VMs that have opinions about x
}

func (m *machine) id(t *rapid.T) call.VMID { return rapid.SampledFrom(m.list).Draw(t, "vm").ID }

func (m *machine) applyStatement(t *rapid.T) {
	id := m.id(t)
	state := rapid.SampledFrom([]State{StateLive, StateLeaving}).Draw(t, "state")
	if m.leaving[id] != 0 {
		state = StateLeaving
	}
	incarnation := rapid.Uint64Range(1, 6).Draw(t, "incarnation")
	if incarnation > m.newest[id] {
		state = StateLive
	}
	s := statement(id, incarnation, rapid.Uint64Range(1, 9).Draw(t, "sequence"), state)
	if !m.v.ApplyStatement(m.now, s) {
		return
	}
	if incarnation > m.newest[id] {
		m.newest[id] = incarnation
		delete(m.leaving, id)
	}
	if state == StateLeaving {
		m.leaving[id] = incarnation
	}
}

func (m *machine) setList(t *rapid.T) {
	lagging := append(VMs{}, m.list...)
	for i := range lagging {
		lagging[i].State = rapid.SampledFrom([]State{StateLive, StateLeaving}).Draw(t, "listed")
	}
	m.v.SetList(m.now, lagging)
}

func (m *machine) emptyList(t *rapid.T) {
	before := m.v.Verdicts(m.now, RoleEntry)
	m.v.SetList(m.now, nil)
	assert.Assert(t, reflect.DeepEqual(m.v.Verdicts(m.now, RoleEntry), before), "an empty list changed a verdict")
}

func (m *machine) missed(t *rapid.T) {
	if id := m.id(t); id != "x" {
		m.v.Missed(m.now, id)
	}
}

func (m *machine) applyOpinion(t *rapid.T) {
	if len(m.opinionSources) == 0 {
		m.opinionSources[m.id(t)] = true
	}
	for by := range m.opinionSources {
		m.v.ApplyOpinion(m.now, Opinion{By: by, About: "x", Version: 1 << 60})
	}
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "wait")) * time.Second)
}

func (m *machine) check(t *rapid.T) {
	judged := m.v.Verdicts(m.now, RoleEntry)
	assert.Equal(t, len(judged), len(m.list), "an outage or an empty list removes no VM")
	for _, verdict := range judged {
		id := verdict.VM.ID
		assert.Assert(t, m.leaving[id] == 0 || !verdict.Usable, "%s said that it is leaving", id)
		assert.Assert(t, id != "x" || verdict.Reason != ReasonSuspected, "suspected by one VM alone")
		if verdict.Reason != ReasonAssumedLive {
			assert.Assert(t, reflect.DeepEqual(m.v.Verdict(m.now, id), verdict))
		}
	}
}

func TestViewStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{
			v: newView(t), now: t0, list: testList(StateLive)[:4],
			leaving: map[call.VMID]uint64{}, newest: map[call.VMID]uint64{}, opinionSources: map[call.VMID]bool{},
		}
		m.v.SetList(t0, m.list)
		t.Repeat(map[string]func(*rapid.T){
			"hear": m.applyStatement, "setList": m.setList, "emptyList": m.emptyList, "missed": m.missed,
			"opinion": m.applyOpinion, "wait": m.wait, "": m.check,
		})
	})
}

// The order in which statements arrive and duplicates make no difference.
func TestStatementsInAnyOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var statements []Statement
		for i := range rapid.IntRange(1, 6).Draw(t, "n") {
			state := rapid.SampledFrom([]State{StateLive, StateLeaving}).Draw(t, "state")
			statements = append(statements, statement("x", uint64(i/3+1), uint64(i%3+1), state))
		}
		order := rapid.Permutation(append(statements, statements...)).Draw(t, "order")
		a, b := newView(t), newView(t)
		for _, s := range statements {
			a.ApplyStatement(t0, s)
		}
		for _, s := range order {
			b.ApplyStatement(t0, s)
		}
		assert.Assert(t, reflect.DeepEqual(a.Verdict(t0, "x"), b.Verdict(t0, "x")))
	})
}
