package route

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
)

// machine applies random steps to a Router and to a simple model of the calls in flight.
type machine struct {
	r        *Router
	now      time.Time
	list     Replicas
	inFlight map[call.ReplicaID]int
}

func (m *machine) pick(t *rapid.T) {
	c := request
	c.Prefixes = rapid.SliceOfN(rapid.Uint64Range(1, 9), 0, 4).Draw(t, "prefixes")
	exclude := rapid.SliceOfN(rapid.SampledFrom(m.ids()), 0, 3).Draw(t, "exclude")
	d, err := m.r.Pick(m.now, c, exclude)
	if err != nil {
		assert.Assert(t, errors.Is(err, ErrBusy) || errors.Is(err, ErrNoReplica), "%v", err)
		return
	}
	for _, id := range exclude {
		assert.Assert(t, d.Replica.ID != id, "excluded")
	}
	s := m.r.byID[d.Replica.ID]
	assert.Assert(t, s != nil && s.listed, "%s is not listed", d.Replica.ID)
	assert.Assert(t, s.inFlight < s.Slots, "full")
	assert.Assert(t, !s.reserved(m.now), "reserved")
	assert.Assert(t, !s.ejected(m.now) || d.Reason == ReasonLastResort, "ejected")
	assert.Assert(t, len(d.Skipped) <= maxSkipped)
	m.r.Started(m.now, d.Replica.ID, 1)
	m.inFlight[d.Replica.ID]++
}

func (m *machine) finish(t *rapid.T) {
	id := rapid.SampledFrom(m.ids()).Draw(t, "id")
	if m.inFlight[id] == 0 {
		return
	}
	m.inFlight[id]--
	status := rapid.SampledFrom([]Status{StatusOK, StatusFailed, StatusUnreachable, StatusCanceled}).Draw(t, "status")
	m.r.Finished(m.now, id, 1, Result{Status: status})
}

func (m *machine) setReplicas(t *rapid.T) {
	from := rapid.IntRange(0, len(m.list)-1).Draw(t, "from")
	m.r.SetReplicas(m.now, m.list[from:])
}

// hint adds a random hint, possibly for an unknown replica.
func (m *machine) hint(t *rapid.T) {
	ids := append([]call.ReplicaID{"unknown"}, m.ids()...)
	prefixes := rapid.SliceOfN(rapid.Uint64Range(1, 9), 0, 4).Draw(t, "prefixes")
	m.r.Hints().Sent("m", prefixes, rapid.SampledFrom(ids).Draw(t, "id"))
}

func (m *machine) report(t *rapid.T) {
	measuredAt := m.now.Add(time.Duration(rapid.IntRange(-20, 2).Draw(t, "age")) * time.Second)
	load := Load{Running: rapid.IntRange(0, 9).Draw(t, "running"), MeasuredAt: measuredAt}
	m.r.Report(m.now, rapid.SampledFrom(m.ids()).Draw(t, "id"), load)
}

func (m *machine) wait(t *rapid.T) {
	m.now = m.now.Add(time.Duration(rapid.IntRange(1, 8000).Draw(t, "wait")) * time.Millisecond)
}

// check compares the Router's in-flight counts with the model, and HasCapacity with Pick.
func (m *machine) check(t *rapid.T) {
	for _, id := range m.ids() {
		got := 0
		if s := m.r.byID[id]; s != nil {
			got = s.inFlight
		}
		assert.Equal(t, got, m.inFlight[id], "%s", id)
	}
	_, err := m.r.Pick(m.now, request, nil)
	assert.Equal(t, m.r.HasCapacity(m.now, "m"), err == nil)
}

func (m *machine) ids() []call.ReplicaID {
	var ids []call.ReplicaID
	for _, replica := range m.list {
		ids = append(ids, replica.ID)
	}
	return ids
}

func TestRouterStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{r: newRouter(t, Config{}), now: t0, list: newReplicas(6, 2), inFlight: map[call.ReplicaID]int{}}
		for i := range m.list {
			m.list[i].Slots = 2
		}
		m.r.SetReplicas(t0, m.list)
		t.Repeat(map[string]func(*rapid.T){
			"pick": m.pick, "finish": m.finish, "setReplicas": m.setReplicas, "hint": m.hint,
			"report": m.report, "wait": m.wait, "": m.check,
		})
	})
}
