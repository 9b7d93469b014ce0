package claim

import (
	"time"

	"github.com/juju/errors"
)

// The errors of a holder's steps.
const (
	// ErrNotHeld means that the attempt holds no claim (any more).
	ErrNotHeld = errors.ConstError("claim not held")
	// ErrExpired means that the claim is too old to send under it.
	ErrExpired = errors.ConstError("claim too old")
)

// sendShare is the divisor of the retention after which a claim is too old to
// send under: the rest is the margin for a pause between MarkSent and the write.
const sendShare = 2

// MarkSent is called directly before the first byte is written to a backend server.
// After it the call counts as run, until MarkUnsent.
//
// Errors: ErrNotHeld, ErrExpired; nothing may be written then.
func (a *Attempt) MarkSent(now time.Time) error {
	if a.phase != phaseHeld {
		return errors.Annotatef(ErrNotHeld, "Attempt.MarkSent: %s", a.phase)
	}
	if age := a.age(now); age > a.config.Request.Retention/sendShare {
		return errors.Annotatef(ErrExpired, "Attempt.MarkSent: %s", age)
	}
	a.phase = phaseSent
	return nil
}

// age takes the larger of the two clocks' measures: the monotonic one stands
// still while the VM is suspended, the wall clock may be set back.
func (a *Attempt) age(now time.Time) time.Duration {
	monotonic := now.Sub(a.config.Now)
	wall := now.Round(0).Sub(a.config.Now.Round(0))
	return max(monotonic, wall)
}

// MarkUnsent takes MarkSent back. It may be called only if no byte has reached
// a connection to the backend server, for example since it couldn't be made.
//
// Errors: ErrNotHeld without a MarkSent before.
func (a *Attempt) MarkUnsent() error {
	if a.phase != phaseSent {
		return errors.Annotatef(ErrNotHeld, "Attempt.MarkUnsent: %s", a.phase)
	}
	a.phase = phaseHeld
	return nil
}

// Finish records the outcome of a call that was sent; a write is pending then.
//
// Errors: ErrNotHeld if it was not sent.
func (a *Attempt) Finish(o Outcome) error {
	if a.phase != phaseSent {
		return errors.Annotatef(ErrNotHeld, "Attempt.Finish: %s", a.phase)
	}
	bounded := o.Bounded(a.config.MaxBody)
	a.record.State, a.record.Outcome = StateFinished, &bounded
	a.phase = phaseFinishing
	return nil
}

// Release gives the claim back unused; a write is pending then. From here on the
// call is surely never sent by this attempt, whatever becomes of the write.
//
// Errors: ErrNotHeld if the call was sent, or nothing is held.
func (a *Attempt) Release() error {
	if a.phase != phaseHeld {
		return errors.Annotatef(ErrNotHeld, "Attempt.Release: %s", a.phase)
	}
	a.phase = phaseReleasing
	return nil
}
