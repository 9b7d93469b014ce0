package claim

import (
	"time"

	"github.com/juju/errors"
)

// The errors of the methods that need a held claim.
const (
	// ErrNotHeld means that the attempt doesn't hold the claim, or no longer
	// does, or isn't in the phase that the method needs.
	ErrNotHeld = errors.ConstError("claim not held")
	// ErrExpired means that the claim is too old for the call to be sent.
	ErrExpired = errors.ConstError("claim too old")
)

// A call may be sent while its claim is no older than the retention divided by
// sendAgeDivisor. The rest of the retention is the margin for a pause between MarkSent
// and the write to the backend server.
const sendAgeDivisor = 2

// MarkSent records that the call is being sent. It must be called directly before
// the first byte is written to a backend server. From then on the call counts as
// run, unless MarkUnsent is called.
//
// Errors: ErrNotHeld, ErrExpired. Nothing may be written after an error.
func (a *Attempt) MarkSent(now time.Time) error {
	if a.phase != phaseHeld {
		return errors.Annotatef(ErrNotHeld, "Attempt.MarkSent: phase %s, want %s", a.phase, phaseHeld)
	}
	if age := a.age(now); age > a.config.Request.Retention/sendAgeDivisor {
		return errors.Annotatef(ErrExpired, "Attempt.MarkSent: age %s, at most %s", age, a.config.Request.Retention/sendAgeDivisor)
	}
	a.phase = phaseSent
	return nil
}

// age returns the larger of the ages by the monotonic and the wall clock: the
// monotonic clock stops while the VM is suspended, the wall clock may be set back.
func (a *Attempt) age(now time.Time) time.Duration {
	monotonic := now.Sub(a.config.Now)
	wall := now.Round(0).Sub(a.config.Now.Round(0))
	return max(monotonic, wall)
}

// MarkUnsent undoes MarkSent. It may be called only if no byte was written to a
// connection to the backend server, for example because dialing failed.
//
// Errors: ErrNotHeld if MarkSent was not called before.
func (a *Attempt) MarkUnsent() error {
	if a.phase != phaseSent {
		return errors.Annotatef(ErrNotHeld, "Attempt.MarkUnsent: phase %s, want %s", a.phase, phaseSent)
	}
	a.phase = phaseHeld
	return nil
}

// Finish records the outcome of a call that was sent. A write is pending
// afterwards.
//
// Errors: ErrNotHeld if the call was not sent.
func (a *Attempt) Finish(o Outcome) error {
	if a.phase != phaseSent {
		return errors.Annotatef(ErrNotHeld, "Attempt.Finish: phase %s, want %s", a.phase, phaseSent)
	}
	bounded := o.Bounded(a.config.MaxBody)
	a.record.State, a.record.Outcome = StateFinished, &bounded
	a.phase = phaseFinishing
	return nil
}

// Withdraw gives up a claim that may not be this attempt's to use, and refuses the
// request. A write is pending afterwards.
//
// Errors: ErrNotHeld if the call was sent or the claim is not held.
func (a *Attempt) Withdraw(reason string) error {
	if a.phase != phaseHeld {
		return errors.Annotatef(ErrNotHeld, "Attempt.Withdraw: phase %s, want %s", a.phase, phaseHeld)
	}
	a.refuse(reason, phaseReleasing)
	return nil
}

// Release gives up an unused claim. A write is pending afterwards; whether or not
// it is committed, this attempt never sends the call.
//
// Errors: ErrNotHeld if the call was sent or the claim is not held.
func (a *Attempt) Release() error {
	if a.phase != phaseHeld {
		return errors.Annotatef(ErrNotHeld, "Attempt.Release: phase %s, want %s", a.phase, phaseHeld)
	}
	a.phase = phaseReleasing
	return nil
}
