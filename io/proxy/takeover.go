package proxy

import (
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/retry"
	"gentianwell/core/route"
)

// takeover is what a request needs to go on at another replica: a retry from the budget
// and a place at the replica. It is taken before a silent replica is given up, so that
// giving it up ends no answer. Its fields, except those behind mu, do not change during
// the attempt.
type takeover struct {
	p *proxyRequest
	// silent holds the replicas that were given up, the attempt's own included; tried also
	// those that refused the request or failed it.
	silent, tried []call.ReplicaID

	mu sync.Mutex
	// attempt is how the attempt fails if the silent replica is given up.
	attempt retry.Attempt
	taken   bool
	// counted is true if the silence counts as a failure of the replica although the
	// attempt goes on.
	counted  bool
	decision route.Decision
	// version is the only one at which the response may go on; empty if any may.
	version call.Version
}

// newTakeover returns the takeover for an attempt at a replica that is about to begin.
func (p *proxyRequest) newTakeover(replica call.ReplicaID) *takeover {
	return &takeover{
		p: p,
		attempt: retry.Attempt{
			Class: call.Class(p.call.Model), Idempotent: p.route.Repeatable(), Deadline: p.deadline,
			Number: p.possibleRuns + 1, MaxAttempts: p.route.MaxAttempts(),
			Outcome: call.OutcomeUnknown, Cause: retry.CauseSilent, BytesWritten: true,
		},
		silent: append(slices.Clone(p.silent), replica), tried: append(slices.Clone(p.tried), replica),
		version: p.call.Version,
	}
}

// take takes the retry and the place, or neither. It reports whether the silent replica
// may be given up.
func (t *takeover) take() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.taken {
		return true
	}
	now := t.p.s.c.Now()
	if !now.Before(t.attempt.Deadline) {
		// The request's context ends the attempt.
		return false
	}
	d, obstacle := t.find(now)
	if obstacle != "" {
		t.stay(now, obstacle)
		return false
	}
	t.p.s.c.Router.Started(now, d.Replica.ID, t.p.cost())
	t.decision, t.taken = d, true
	t.p.log("silent").WithFields(logrus.Fields{"replica": t.replica(), "givenUp": true}).Info("silent replica is given up")
	return true
}

// deliver forbids giving the replica up, because a part of the response is about to be
// forwarded that no other replica can continue. It returns false if that is too late.
func (t *takeover) deliver() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.attempt.Delivered = true
	return !t.taken
}

// begin binds the response to a version, because its first part is about to be forwarded. It
// returns false if that is too late: a replica of another version has been taken.
func (t *takeover) begin(version call.Version) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.version = version
	return !t.taken || version == "" || t.decision.Replica.Version == version
}

// find chooses a replica and takes a retry. If it fails, it returns the reason.
func (t *takeover) find(now time.Time) (d route.Decision, obstacle string) {
	c := t.p.call
	c.Version = t.version
	d, err := t.p.s.c.Router.PickOther(now, c, t.tried, t.replica())
	if err != nil {
		d, err = t.p.s.c.Router.PickOther(now, c, t.silent, t.replica())
	}
	switch {
	case err != nil:
		return d, err.Error()
	case d.Reason == route.ReasonLastResort:
		return d, string(d.Reason)
	}
	if reason, _ := t.p.s.c.Forbids(t.p.fingerprint(), t.p.parts); reason != "" {
		return d, string(reason)
	}
	if decision := t.p.s.c.Retry.Decide(now, t.attempt); decision.Action != retry.ActionRetry {
		return d, string(decision.Reason)
	}
	return d, ""
}

// stay logs that the attempt goes on at the silent replica, and counts the silence as a
// failure, so that the replica gets no further requests while it is silent.
func (t *takeover) stay(now time.Time, obstacle string) {
	if t.counted {
		return
	}
	t.counted = true
	ejected := t.p.s.c.Router.Silent(now, t.replica())
	t.p.log("silent").WithFields(logrus.Fields{
		"replica": t.replica(), "givenUp": false, "obstacle": obstacle, "ejected": ejected,
	}).Info("request stays at its silent replica")
}

// replica returns the replica of the attempt.
func (t *takeover) replica() call.ReplicaID { return t.silent[len(t.silent)-1] }

// use hands the place over to the request's next attempt. It returns false if there is
// none.
func (t *takeover) use() (route.Decision, bool) {
	t.mu.Lock()
	defer t.mu.Unlock()
	taken := t.taken
	t.taken = false
	return t.decision, taken
}

// release returns the retry and the place if they were taken and not used.
func (t *takeover) release() {
	d, taken := t.use()
	if !taken {
		return
	}
	now := t.p.s.c.Now()
	t.p.s.c.Router.Finished(now, d.Replica.ID, t.p.cost(), route.Result{Status: route.StatusCanceled})
	t.p.s.c.Retry.Refund(now, t.attempt.Class)
}

// ready reports whether the request can go on at another replica.
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
