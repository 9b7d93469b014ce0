package claim

import (
	"time"

	"gentianwell/core/call"
)

const (
	// maxClaims bounds the attempts to create a record for one request.
	maxClaims = 3
	// maxRetries bounds the retries of a write whose reply was lost, before the
	// request is refused.
	maxRetries = 2
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
	// Now is a time taken before the first write; the claim's age counts from it.
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
	retries  int
	verdict  Verdict
}

// NewAttempt returns an attempt whose first write creates its record.
func NewAttempt(c AttemptConfig) *Attempt {
	a := &Attempt{config: c}
	a.startClaim(0)
	return a
}

// Request returns the request.
func (a *Attempt) Request() Request { return a.config.Request }

// Verdict returns the decision; its Kind is empty until there is one.
func (a *Attempt) Verdict() Verdict { return a.verdict }

// Pending reports whether the attempt has a write to make. After the verdict
// "refused" or "passOn" that may be one that releases a claim left by a write
// whose reply was lost. It isn't urgent and may be retried without limit.
func (a *Attempt) Pending() bool {
	switch a.phase {
	case phaseHeld, phaseSent, phaseDone:
		return false
	default:
		return true
	}
}

// Next returns the write to make; it is valid while Pending returns true.
func (a *Attempt) Next() Write {
	w := Write{IfRevision: a.revision, Put: a.record}
	if a.phase == phaseAbandoned || a.phase == phaseReleasing {
		w.Put.State, w.Put.Outcome = StateReleased, nil
	}
	return w
}

// Apply updates the attempt with the result of the write returned by Next.
func (a *Attempt) Apply(r Reply) {
	switch a.phase {
	case phaseClaiming:
		a.applyClaim(r)
	case phaseAbandoned:
		a.applyAbandoned(r)
	case phaseFinishing, phaseReleasing:
		// Refused: an earlier try of the same write was committed, or the
		// retention has ended. In both cases nothing is left to do.
		if r.Result == ResultCommitted || r.Result == ResultRefused {
			a.phase = phaseDone
		}
	}
}

// startClaim prepares a write that creates the record with a new nonce, or
// replaces a released one last changed at revision.
func (a *Attempt) startClaim(revision int64) {
	if a.claims++; a.claims > maxClaims {
		a.refuse("record changed before each attempt to claim it", phaseDone)
		return
	}
	a.phase, a.revision, a.retries = phaseClaiming, revision, 0
	a.record = Record{
		State: StateClaimed, Nonce: a.config.Nonce(), Attempt: a.config.Request.ID,
		VM: a.config.VM, Fingerprint: a.config.Request.Fingerprint, Claimed: a.config.Now,
	}
}

func (a *Attempt) applyClaim(r Reply) {
	switch r.Result {
	case ResultCommitted:
		a.setHeld(r.Revision, "claimed")
	case ResultRefused:
		a.resolveConflict(r)
	case ResultNoEffect:
		a.refuse("platform unavailable", a.phaseAfterNoEffect())
	default:
		// Next returns the same write again, with the same nonce: at most one
		// try can be committed, and any of them makes this attempt the holder.
		if a.retries++; a.retries > maxRetries {
			a.refuse("replies to the claim's write lost, retries used up", phaseAbandoned)
		}
	}
}

// phaseAfterNoEffect returns the phase after a write without effect. An earlier
// try whose reply was lost still has to be undone.
func (a *Attempt) phaseAfterNoEffect() phase {
	if a.retries > 0 {
		return phaseAbandoned
	}
	return phaseDone
}

// resolveConflict decides by the record that the refused write found.
func (a *Attempt) resolveConflict(r Reply) {
	switch {
	case !r.Found:
		a.startClaim(0)
	case r.Record.Nonce == a.record.Nonce && r.Record.State == StateClaimed:
		a.setHeld(r.Revision, "claimed; confirmed after a lost reply")
	case r.Record.State == StateReleased:
		a.startClaim(r.Revision)
	default:
		a.verdict = verdictFor(a.config.Request, r.Record)
		a.phase = phaseDone
	}
}

// applyAbandoned releases the claim that a lost write may have made. The caller
// has been told that the call was not run, so the attempt never uses that claim.
func (a *Attempt) applyAbandoned(r Reply) {
	ours := r.Found && r.Record.Nonce == a.record.Nonce && r.Record.State == StateClaimed
	switch {
	case r.Result == ResultCommitted, r.Result == ResultRefused && !ours:
		a.phase = phaseDone
	case r.Result == ResultRefused:
		a.phase, a.revision = phaseReleasing, r.Revision
	}
}

func (a *Attempt) setHeld(revision int64, reason string) {
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
