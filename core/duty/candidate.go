package duty

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

const (
	// rankStep is the time between the attempts of two ranks: a call to a healthy store takes
	// less, so that the next rank hears of the new holder first.
	rankStep = 300 * time.Millisecond
	// defaultStartWait is how long a VM that has just started waits for an announcement; gossip
	// reaches all VMs within a few rounds of 400 ms.
	defaultStartWait = 1500 * time.Millisecond
	// expiryDelay is added to a lease's announced end: the store measures it from when it
	// received the renewal, so that a read at the announced end would come too early.
	expiryDelay = 100 * time.Millisecond
	// retryDivisor gives the pause after a failed attempt as a part of the lease.
	retryDivisor = 3
)

// Reason says why a VM may take the lease or not.
type Reason string

// The reasons.
const (
	ReasonFree      Reason = "free"
	ReasonHeld      Reason = "held by another VM"
	ReasonTooSoon   Reason = "own term ended too recently and another VM has held the lease since"
	ReasonRefused   Reason = "token was refused too recently"
	ReasonStopping  Reason = "VM stops"
	ReasonUncovered Reason = "lease may end before the call"
	ReasonPaused    Reason = "VM stood still since the last renewal"
	ReasonNoLease   Reason = "no lease"
)

// CandidateConfig configures a Candidate.
type CandidateConfig struct {
	Self call.VMID
	// Lease is the lease's time to live.
	Lease time.Duration
	// StartWait is how long a new candidate waits for the announcement of a holder.
	StartWait time.Duration
}

// Defaults returns the configuration with StartWait set to its default if it is zero.
func (c CandidateConfig) Defaults() CandidateConfig {
	if c.StartWait == 0 {
		c.StartWait = defaultStartWait
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c CandidateConfig) Validate() error {
	if c.Self == "" || c.Lease <= 0 || c.StartWait < 0 {
		return errors.NotValidf("Self %q, Lease %s, StartWait %s (Self must be set, Lease above 0, StartWait not negative)", c.Self, c.Lease, c.StartWait)
	}
	return nil
}

// Candidate decides when a VM that does not hold the lease tries to take it. It is not safe
// for concurrent use.
type Candidate struct {
	config CandidateConfig
	// holder is the last holder heard of, with its token; freeAt is when its lease ends unless
	// it is heard of again.
	holder call.VMID
	token  int64
	freeAt time.Time
	// retryAt is the earliest time of the next attempt after a failed one.
	retryAt time.Time
	// readPause is the pause after the last attempt that found the lease held.
	readPause time.Duration
	// ownToken is the token of this VM's last term. endedAt is when that term ended; refused is
	// true if it ended because the platform refused the token.
	ownToken int64
	endedAt  time.Time
	refused  bool
}

// NewCandidate returns a candidate that has heard of no holder.
func NewCandidate(c CandidateConfig, now time.Time) *Candidate {
	c = c.Defaults()
	return &Candidate{config: c, freeAt: now.Add(c.StartWait)}
}

// Heard records an announcement, or what the store says of the holder. The lease ends after
// ttl unless the holder is heard of again. It reports whether the holder changed.
func (c *Candidate) Heard(now time.Time, a Announcement, ttl time.Duration) bool {
	if a.Token < c.token {
		return false
	}
	c.readPause = 0
	changed := a.Holder != c.holder || a.Token != c.token
	c.holder, c.token = a.Holder, a.Token
	if a.Holder == "" {
		c.freeAt = now
		return changed
	}
	if until := now.Add(ttl + expiryDelay); changed || until.After(c.freeAt) {
		c.freeAt = until
	}
	return changed
}

// Holder returns the last holder heard of, empty if there is none, and the greatest token.
func (c *Candidate) Holder() (call.VMID, int64) { return c.holder, c.token }

// Due reports whether a VM of a rank should try to take the lease.
func (c *Candidate) Due(now time.Time, rank int) bool {
	return !now.Before(c.freeAt.Add(time.Duration(rank)*rankStep)) && !now.Before(c.retryAt)
}

// Failed records that the store did not answer an attempt, or refused it.
func (c *Candidate) Failed(now time.Time, rank int) {
	c.retryAt = now.Add(c.config.Lease/retryDivisor + time.Duration(rank)*rankStep)
}

// Absent records that an attempt found the lease free and that this VM may not take it now.
func (c *Candidate) Absent(now time.Time) { c.retryAt = now.Add(c.config.Lease / retryDivisor) }

// MayTake reports whether this VM may take the lease, which the store says is free, and why
// or why not. lastToken is the last token that the store has given out.
func (c *Candidate) MayTake(now time.Time, lastToken int64) (bool, Reason) {
	recently := !c.endedAt.IsZero() && now.Before(c.endedAt.Add(c.config.Lease))
	switch {
	case recently && c.refused:
		return false, ReasonRefused
	case recently && max(lastToken, c.token) > c.ownToken:
		return false, ReasonTooSoon
	}
	return true, ReasonFree
}

// NextToken returns the token of a term that begins at a time of the VM's wall clock. It is
// greater than any that this VM has heard of, also when the store came back from an older copy
// and the wall clock has been set back.
func (c *Candidate) NextToken(wall time.Time, lastToken int64) int64 {
	return max(lastToken+1, c.token+1, c.ownToken+1, wall.UnixMilli())
}

// Taken records that this VM has begun a term.
func (c *Candidate) Taken(token int64) {
	c.holder, c.token, c.ownToken, c.refused = c.config.Self, token, token, false
}

// Ended records the end of this VM's term. Calls of the term may be under way until a time.
func (c *Candidate) Ended(now, callsUntil time.Time, refused bool) {
	c.endedAt, c.refused = now, refused
	if callsUntil.After(now) {
		c.endedAt = callsUntil
	}
	c.holder, c.freeAt = "", now
}

// HeardOfStore records the holder that the store's key names. Unlike an announcement, it holds
// even if its token is lower than one heard of, as after a restore of the store. The pause until
// the next read doubles with each read in which nothing was heard by gossip.
func (c *Candidate) HeardOfStore(now time.Time, a Announcement) {
	c.holder, c.token = a.Holder, max(a.Token, c.token)
	c.readPause = min(max(2*c.readPause, rankStep), c.config.Lease)
	c.retryAt = now.Add(c.readPause)
}
