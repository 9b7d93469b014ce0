package claim

import (
	"strconv"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

// register is one key of the platform's service, with writes under way whose
// senders have given up on a reply.
type register struct {
	last   int64
	mod    int64
	record Record
	flying []Write
}

func (r *register) apply(w Write) Reply {
	if r.mod != w.IfRevision {
		return Reply{Result: ResultRefused, Revision: r.mod, Found: r.mod != 0, Record: r.record}
	}
	r.last++
	r.mod, r.record = r.last, w.Put
	return Reply{Result: ResultCommitted, Revision: r.mod}
}

// handling is one request with what really happened to it.
type handling struct {
	*Attempt
	told  Verdict
	bytes int
}

type machine struct {
	reg  register
	all  []*handling
	ran  *handling
	done *Outcome
}

func (m *machine) pick(t *rapid.T, ok func(*handling) bool) *handling {
	var fit []*handling
	for _, h := range m.all {
		if ok(h) {
			fit = append(fit, h)
		}
	}
	if len(fit) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(fit).Draw(t, "handling")
}

func (m *machine) start(t *rapid.T) {
	id := strconv.Itoa(len(m.all))
	nonces := 0
	c := AttemptConfig{
		Request: Request{
			ID: id, Team: "t", Service: "s", Key: "k", Retention: time.Hour,
			Fingerprint: rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "body"),
		},
		VM: call.VMID(id), MaxBody: 10,
		Nonce: func() string { nonces++; return id + "." + strconv.Itoa(nonces) },
	}
	m.all = append(m.all, &handling{Attempt: NewAttempt(c)})
}

func (m *machine) step(t *rapid.T) {
	h := m.pick(t, func(h *handling) bool { return h.Pending() })
	w := h.Next()
	switch rapid.SampledFrom([]string{"sound", "sound", "noEffect", "lostRequest", "lostReply", "late"}).Draw(t, "fate") {
	case "sound":
		h.Apply(m.reg.apply(w))
	case "noEffect":
		h.Apply(Reply{Result: ResultNoEffect})
	case "lostRequest":
		h.Apply(Reply{Result: ResultUnknown})
	case "lostReply":
		m.reg.apply(w)
		h.Apply(Reply{Result: ResultUnknown})
	case "late":
		m.reg.flying = append(m.reg.flying, w)
		h.Apply(Reply{Result: ResultUnknown})
	}
	if h.told.Kind == "" {
		h.told = h.Verdict()
	}
}

func (m *machine) arrive(t *rapid.T) {
	if len(m.reg.flying) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.reg.flying)-1).Draw(t, "write")
	w := m.reg.flying[i]
	m.reg.flying = append(m.reg.flying[:i], m.reg.flying[i+1:]...)
	m.reg.apply(w)
}

// send is a run by a holder that may have been frozen for any number of steps.
func (m *machine) send(t *rapid.T) {
	h := m.pick(t, func(h *handling) bool { return h.told.Kind == KindRun })
	if err := h.MarkSent(time.Time{}); err != nil {
		return
	}
	if rapid.Bool().Draw(t, "dial fails") {
		assert.NilError(t, h.MarkUnsent())
		return
	}
	h.bytes++
	m.ran = h
}

func (m *machine) release(t *rapid.T) {
	h := m.pick(t, func(h *handling) bool { return h.told.Kind == KindRun })
	if err := h.Release(); err == nil {
		h.told = Verdict{Kind: KindRefused}
	}
}

func (m *machine) finish(t *rapid.T) {
	h := m.pick(t, func(h *handling) bool { return h.bytes > 0 })
	o := Outcome{Status: 200, Body: []byte(h.Request().ID)}
	if err := h.Finish(o); err == nil {
		m.done = &o
	}
}

func (m *machine) check(t *rapid.T) {
	runs := 0
	for _, h := range m.all {
		runs += h.bytes
		switch h.told.Kind {
		case KindRefused:
			assert.Equal(t, h.bytes, 0, "run though told not run")
		case KindReplay:
			assert.DeepEqual(t, h.told.Outcome, *m.done)
			assert.Equal(t, h.Request().Fingerprint, m.ran.Request().Fingerprint)
		case KindConflict:
			assert.Equal(t, h.bytes, 0)
		}
	}
	assert.Assert(t, runs <= 1, "run %d times", runs)
}

// quiesce lets all writes arrive and all attempts end. A key that was not run
// has to be free then.
func (m *machine) quiesce(t *rapid.T) {
	for _, w := range m.reg.flying {
		m.reg.apply(w)
	}
	for _, h := range m.all {
		for h.Pending() {
			h.Apply(m.reg.apply(h.Next()))
		}
		if h.Release() == nil {
			h.Apply(m.reg.apply(h.Next()))
		}
	}
	m.check(t)
	if m.ran != nil {
		return
	}
	a := NewAttempt(AttemptConfig{Request: request, Nonce: func() string { return "last" }})
	for a.Pending() {
		a.Apply(m.reg.apply(a.Next()))
	}
	assert.Equal(t, a.Verdict().Kind, KindRun, "key blocked though never run")
}

// Whatever is lost, late or abandoned: one key is run at most once, nobody who
// was told "not run" has been run, a replay is the answer of the one run, and a
// key that was never run is free again in the end.
func TestAttemptMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.start, "step": m.step, "step again": m.step, "arrive": m.arrive,
			"send": m.send, "release": m.release, "finish": m.finish, "": m.check,
		})
		m.quiesce(t)
	})
}
