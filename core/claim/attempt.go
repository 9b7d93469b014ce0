package claim

import (
	"time"

	"gentianwell/core/call"
)

const (
	// maxClaims bounds the tries to create a record for one request.
	maxClaims = 3
	// maxSettles bounds the tries to settle a lost reply before the caller is
	// answered.
	maxSettles = 2
)

type phase string

const (
	phaseClaiming  phase = "claiming"
	phaseHeld      phase = "held"
	phaseSent      phase = "sent"
	phaseFinishing phase = "finishing"
	phaseReleasing phase = "releasing"
	phaseAbandoned phase = "abandoned"
	phaseDone      phase = "done"
)

// AttemptConfig configures an Attempt.
type AttemptConfig struct {
	Request Request
	VM      call.VMID
	// Nonce returns a new unique string at each call.
	Nonce func() string
	// Now is the time before the first write.
	Now time.Time
	// MaxBody bounds the stored body, in bytes.
	MaxBody int
}

// Attempt is one VM's handling of one request.
type Attempt struct {
	config   AttemptConfig
	phase    phase
	record   Record
	revision int64
	claims   int
	settles  int
	verdict  Verdict
}

// NewAttempt returns an attempt that wants to create its record.
func NewAttempt(c AttemptConfig) *Attempt {
	a := &Attempt{config: c}
	a.claim(0)
	return a
}

// Request returns the request.
func (a *Attempt) Request() Request { return a.config.Request }

// Verdict returns the decision, whose Kind is empty as long as there is none.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Pending reports whether the attempt wants a write. After the verdict "refused"
// it may want one to give back a claim that it may have made: that write isn't
// urgent and may be tried for as long as one likes.
func (a *Attempt) Pending() bool {
	switch a.phase {
	case phaseHeld, phaseSent, phaseDone:
		return false
	default:
		return true
	}
}

// Next returns the write that the attempt wants.
func (a *Attempt) Next() Write {
	w := Write{IfRevision: a.revision, Put: a.record}
	if a.phase == phaseAbandoned || a.phase == phaseReleasing {
		w.Put.State, w.Put.Outcome = StateReleased, nil
	}
	return w
}

// Apply tells the attempt how the write of Next ended.
func (a *Attempt) Apply(r Reply) {
	switch a.phase {
	case phaseClaiming:
		a.applyClaim(r)
	case phaseAbandoned:
		a.applyAbandoned(r)
	case phaseFinishing, phaseReleasing:
		// Refused: an earlier write of the same was committed, or the retention
		// has ended. Both leave nothing to do.
		if r.Result == ResultCommitted || r.Result == ResultRefused {
			a.phase = phaseDone
		}
	}
}

// claim begins a try to create the record at the revision of what is there.
func (a *Attempt) claim(revision int64) {
	if a.claims++; a.claims > maxClaims {
		a.refuse("claim lost too often", phaseDone)
		return
	}
	a.phase, a.revision, a.settles = phaseClaiming, revision, 0
	a.record = Record{
		State: StateClaimed, Nonce: a.config.Nonce(), Attempt: a.config.Request.ID,
		VM: a.config.VM, Fingerprint: a.config.Request.Fingerprint, Claimed: a.config.Now,
	}
}

func (a *Attempt) applyClaim(r Reply) {
	switch r.Result {
	case ResultCommitted:
		a.hold(r.Revision, "claimed")
	case ResultRefused:
		a.refusedBy(r)
	case ResultNoEffect:
		a.refuse("platform unavailable", a.afterNoEffect())
	default:
		// Next gives the same write again, with the same nonce: at most one of
		// the two can be committed, and either makes this attempt the holder.
		if a.settles++; a.settles > maxSettles {
			a.refuse("claim's reply lost, platform gives no answer", phaseAbandoned)
		}
	}
}

// afterNoEffect still has to undo an earlier try whose reply was lost.
func (a *Attempt) afterNoEffect() phase {
	if a.settles > 0 {
		return phaseAbandoned
	}
	return phaseDone
}

// refusedBy judges the record that stands in the way.
func (a *Attempt) refusedBy(r Reply) {
	switch {
	case !r.Found:
		a.claim(0)
	case r.Record.Nonce == a.record.Nonce && r.Record.State == StateClaimed:
		a.hold(r.Revision, "claimed, lost reply settled")
	case r.Record.State == StateReleased:
		a.claim(r.Revision)
	default:
		a.verdict = judge(a.config.Request, r.Record)
		a.phase = phaseDone
	}
}

// applyAbandoned gives back the claim that a lost write may have made. The
// caller has been told that the call was not run, so the attempt never holds it.
func (a *Attempt) applyAbandoned(r Reply) {
	ours := r.Found && r.Record.Nonce == a.record.Nonce && r.Record.State == StateClaimed
	switch {
	case r.Result == ResultCommitted, r.Result == ResultRefused && !ours:
		a.phase = phaseDone
	case r.Result == ResultRefused:
		a.phase, a.revision = phaseReleasing, r.Revision
	}
}

func (a *Attempt) hold(revision int64, reason string) {
	a.phase, a.revision = phaseHeld, revision
	a.verdict = Verdict{Kind: KindRun, Reason: reason}
}

func (a *Attempt) refuse(reason string, next phase) {
	a.phase = next
	a.verdict = Verdict{Kind: KindRefused, Reason: reason}
	if a.config.Request.ServiceDeduplicates {
		a.verdict.Kind = KindPassOn
	}
}
