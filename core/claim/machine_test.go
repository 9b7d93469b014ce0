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

// fakeKey simulates one key of the platform's key-value service. inFlight holds
// writes whose senders no longer wait for the reply.
type fakeKey struct {
	last     int64
	mod      int64
	record   Record
	inFlight []Write
}

func (k *fakeKey) apply(w Write) Reply {
	if k.mod != w.IfRevision {
		return Reply{Result: ResultRefused, Revision: k.mod, Found: k.mod != 0, Record: k.record}
	}
	k.last++
	k.mod, k.record = k.last, w.Put
	return Reply{Result: ResultCommitted, Revision: k.mod}
}

// trackedAttempt is an attempt with the verdict reported to its caller and the
// number of times that the call was run.
type trackedAttempt struct {
	*Attempt
	reported Verdict
	runs     int
}

type machine struct {
	key      fakeKey
	attempts []*trackedAttempt
	lastRun  *trackedAttempt
	outcome  *Outcome
}

func (m *machine) pick(t *rapid.T, ok func(*trackedAttempt) bool) *trackedAttempt {
	var matching []*trackedAttempt
	for _, a := range m.attempts {
		if ok(a) {
			matching = append(matching, a)
		}
	}
	if len(matching) == 0 {
		t.Skip("none")
	}
	return rapid.SampledFrom(matching).Draw(t, "attempt")
}

func (m *machine) startAttempt(t *rapid.T) {
	id := strconv.Itoa(len(m.attempts))
	nonces := 0
	c := AttemptConfig{
		Request: Request{
			ID: id, Team: "t", Service: "s", Key: "k", Retention: time.Hour,
			Fingerprint: rapid.SampledFrom([]uint64{1, 1, 1, 2}).Draw(t, "body"),
		},
		VM: call.VMID(id), MaxBody: 10,
		Nonce: func() string { nonces++; return id + "." + strconv.Itoa(nonces) },
	}
	m.attempts = append(m.attempts, &trackedAttempt{Attempt: NewAttempt(c)})
}

func (m *machine) step(t *rapid.T) {
	a := m.pick(t, func(a *trackedAttempt) bool { return a.Pending() })
	w := a.Next()
	switch rapid.SampledFrom([]string{"applied", "applied", "noEffect", "lostRequest", "lostReply", "late"}).Draw(t, "result") {
	case "applied":
		a.Apply(m.key.apply(w))
	case "noEffect":
		a.Apply(Reply{Result: ResultNoEffect})
	case "lostRequest":
		a.Apply(Reply{Result: ResultUnknown})
	case "lostReply":
		m.key.apply(w)
		a.Apply(Reply{Result: ResultUnknown})
	case "late":
		m.key.inFlight = append(m.key.inFlight, w)
		a.Apply(Reply{Result: ResultUnknown})
	}
	if a.reported.Kind == "" {
		a.reported = a.Verdict()
	}
}

func (m *machine) deliverLate(t *rapid.T) {
	if len(m.key.inFlight) == 0 {
		t.Skip("none")
	}
	i := rapid.IntRange(0, len(m.key.inFlight)-1).Draw(t, "write")
	w := m.key.inFlight[i]
	m.key.inFlight = append(m.key.inFlight[:i], m.key.inFlight[i+1:]...)
	m.key.apply(w)
}

// send runs the call of an attempt that holds the claim, any number of steps after
// the claim was made.
func (m *machine) send(t *rapid.T) {
	a := m.pick(t, func(a *trackedAttempt) bool { return a.reported.Kind == KindRun })
	if err := a.MarkSent(time.Time{}); err != nil {
		return
	}
	if rapid.Bool().Draw(t, "dial fails") {
		assert.NilError(t, a.MarkUnsent())
		return
	}
	a.runs++
	m.lastRun = a
}

func (m *machine) release(t *rapid.T) {
	a := m.pick(t, func(a *trackedAttempt) bool { return a.reported.Kind == KindRun })
	if err := a.Release(); err == nil {
		a.reported = Verdict{Kind: KindRefused}
	}
}

func (m *machine) finish(t *rapid.T) {
	a := m.pick(t, func(a *trackedAttempt) bool { return a.runs > 0 })
	o := Outcome{Status: 200, Body: []byte(a.Request().ID)}
	if err := a.Finish(o); err == nil {
		m.outcome = &o
	}
}

func (m *machine) check(t *rapid.T) {
	runs := 0
	for _, a := range m.attempts {
		runs += a.runs
		switch a.reported.Kind {
		case KindRefused:
			assert.Equal(t, a.runs, 0, "run although reported as not run")
		case KindReplay:
			assert.DeepEqual(t, a.reported.Outcome, *m.outcome)
			assert.Equal(t, a.Request().Fingerprint, m.lastRun.Request().Fingerprint)
		case KindConflict:
			assert.Equal(t, a.runs, 0)
		}
	}
	assert.Assert(t, runs <= 1, "run %d times", runs)
}

// finishAll delivers all writes and completes all attempts. If the call was not
// run, a new attempt must then be able to claim the key.
func (m *machine) finishAll(t *rapid.T) {
	for _, w := range m.key.inFlight {
		m.key.apply(w)
	}
	for _, a := range m.attempts {
		for a.Pending() {
			a.Apply(m.key.apply(a.Next()))
		}
		if a.Release() == nil {
			a.Apply(m.key.apply(a.Next()))
		}
	}
	m.check(t)
	if m.lastRun != nil {
		return
	}
	a := NewAttempt(AttemptConfig{Request: request, Nonce: func() string { return "last" }})
	for a.Pending() {
		a.Apply(m.key.apply(a.Next()))
	}
	assert.Equal(t, a.Verdict().Kind, KindRun, "key still claimed although never run")
}

// With any combination of lost, delayed and abandoned writes, a key is run at most
// once, a request reported as "not run" was not run, a replay is the response of
// the one run, and a key that was never run can be claimed again in the end.
func TestAttemptMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &machine{}
		t.Repeat(map[string]func(*rapid.T){
			"start": m.startAttempt, "step": m.step, "step again": m.step, "arrive": m.deliverLate,
			"send": m.send, "release": m.release, "finish": m.finish, "": m.check,
		})
		m.finishAll(t)
	})
}
