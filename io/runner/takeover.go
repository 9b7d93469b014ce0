package runner

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/sched"
)

// orderTakeover is logged as the reason for the order of an attempt that takes over from
// a silent one: it is not queued.
const orderTakeover sched.Reason = "takeover"

// takeover is what a job needs to go on elsewhere: a retry from the budget and a place at
// a replica. It is taken before a silent replica is given up, so that giving it up ends no
// answer.
type takeover struct {
	n       *run
	replica call.ReplicaID

	mu    sync.Mutex
	taken bool
	// counted is true if the silence counts as a failure of the replica although the
	// attempt goes on.
	counted  bool
	decision route.Decision
}

// take takes the retry and the place, or neither. It reports whether the silent attempt
// is to end: it is taken over, or its job has ended without it.
func (t *takeover) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.n.r.c.Now()
	deadline := t.n.job.Call.Deadline
	if t.taken || t.n.abandoned() || !deadline.IsZero() && !now.Before(deadline) {
		return true
	}
	d, obstacle := t.find(now)
	if obstacle != "" {
		t.stay(now, obstacle)
		return false
	}
	t.decision, t.taken = d, true
	t.n.r.mu.Lock()
	t.n.r.takePlace(now, t.n, d, orderTakeover)
	t.n.r.mu.Unlock()
	t.log("silent").WithFields(logrus.Fields{"replica": t.replica, "givenUp": true}).Info("silent replica is given up")
	return true
}

// find chooses a replica and takes a retry. If it fails, it returns the reason.
func (t *takeover) find(now time.Time) (d route.Decision, obstacle string) {
	n := t.n
	if reason := n.noNextAttempt(); reason != "" {
		return d, reason
	}
	if v := n.r.c.Poison.Judge(now, n.fingerprint()); n.alone || v.Action != poison.ActionRun {
		return d, string(ReasonSuspect)
	}
	d, err := t.pick(now)
	switch {
	case err != nil:
		return d, err.Error()
	case d.Reason == route.ReasonLastResort:
		return d, string(d.Reason)
	}
	decision := n.r.c.Retry.Decide(now, retry.Attempt{
		Class: n.job.Call.Class, Idempotent: n.job.Call.Idempotent, Deadline: n.job.Call.Deadline,
		Number: n.attempts, Outcome: call.OutcomeUnknown, Cause: retry.CauseSilent, BytesWritten: true,
	})
	if decision.Action != retry.ActionRetry {
		return d, string(decision.Reason)
	}
	return d, ""
}

// pick chooses a replica on which the job has not been tried, or one that has not been
// silent. To continue a partial answer, any replica will do, the silent one included: on
// a new connection it may answer.
func (t *takeover) pick(now time.Time) (route.Decision, error) {
	n := t.n
	pick := func(exclude []call.ReplicaID) (route.Decision, error) {
		return n.r.c.Router.PickOther(now, n.job.Call, exclude, t.replica)
	}
	d, err := pick(append(slices.Clone(n.exclude), t.replica))
	if err != nil {
		d, err = pick(append(slices.Clone(n.silent), t.replica))
	}
	if err != nil && n.hasPart() {
		d, err = pick(nil)
	}
	return d, err
}

// stay logs that the attempt goes on at the silent replica, and counts the silence as a
// failure, so that the replica gets no further requests while it is silent.
func (t *takeover) stay(now time.Time, obstacle string) {
	if t.counted {
		return
	}
	t.counted = true
	ejected := t.n.r.c.Router.Silent(now, t.replica)
	t.log("silent").WithFields(logrus.Fields{
		"replica": t.replica, "givenUp": false, "obstacle": obstacle, "ejected": ejected,
	}).Info("request stays at its silent replica")
}

// use hands the place over to the job's next attempt. It returns false if there is none.
func (t *takeover) use() (grant, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.taken
	t.taken = false
	return grant{decision: t.decision, reason: orderTakeover}, taken
}

// release returns the retry and the place if they were taken and not used.
func (t *takeover) release() {
	g, taken := t.use()
	if !taken {
		return
	}
	now := t.n.r.c.Now()
	t.n.r.c.Retry.Refund(now, t.n.job.Call.Class)
	t.n.r.mu.Lock()
	defer t.n.r.mu.Unlock()
	t.n.r.leavePlace(now, t.n, g.decision)
}

// ready reports whether the job can go on elsewhere.
func (t *takeover) ready() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.taken
}

// countsAsFailure reports whether the silence has been counted as a failure.
func (t *takeover) countsAsFailure() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.counted
}

func (t *takeover) log(event string) *logrus.Entry {
	return t.n.r.c.Log.WithFields(logrus.Fields{"event": event, "request": t.n.job.Call.ID})
}

// noNextAttempt returns why no attempt could follow the current one if it ended now, or
// an empty string.
func (n *run) noNextAttempt() string {
	switch {
	case n.stream != nil:
		return n.stream.Obstacle()
	case n.started:
		return string(retry.ReasonDelivered)
	}
	return ""
}

// abandoned reports whether nobody waits for the answer any more. That of an at-most-once
// job is recorded for a repeat if its caller has gone.
func (n *run) abandoned() bool {
	return n.stopping() || n.ctx.Err() != nil && !n.job.AtMostOnce
}

// hasPart reports whether a part of the answer has been received that another attempt
// could continue.
func (n *run) hasPart() bool { return n.stream != nil && n.stream.Stats().Tokens > 0 }
