package duty

import "time"

// TermConfig configures a Term.
type TermConfig struct {
	// TTL is the lease's time to live.
	TTL time.Duration
	// Margin is how much earlier than the lease service this side treats the lease
	// as expired, to allow for clocks that run at different rates.
	Margin time.Duration
}

// Term is the period in which one VM holds a lease, by its own clock.
type Term struct {
	config TermConfig
	// Token is the fencing token, which grows with each term of any VM.
	Token      int64
	takenAt    time.Time
	validUntil time.Time
}

// NewTerm begins a term. The time asked is from before the lease's grant was
// requested, and taken from after the key was created.
func NewTerm(c TermConfig, token int64, asked, taken time.Time) *Term {
	t := &Term{config: c, Token: token, takenAt: taken}
	t.Renewed(asked)
	return t
}

// Renewed extends the term by a successful renewal. The time asked is from before
// the renewal was requested.
func (t *Term) Renewed(asked time.Time) {
	if until := asked.Add(t.config.TTL - t.config.Margin); until.After(t.validUntil) {
		t.validUntil = until
	}
}

// Held reports whether the lease is certain to be still held.
func (t *Term) Held(now time.Time) bool { return now.Before(t.validUntil) }

// Covers reports whether the lease is certain to be held until something that begins now and
// takes at most a time has ended.
func (t *Term) Covers(now time.Time, takes time.Duration) bool {
	return t.Held(now) && !now.Add(takes).After(t.validUntil)
}

// Until returns the time from which the lease may have expired.
func (t *Term) Until() time.Time { return t.validUntil }

// TakenAt returns the time by which the key had been created.
func (t *Term) TakenAt() time.Time { return t.takenAt }
