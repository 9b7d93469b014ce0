package claim

import "time"

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Pause is how long attempts are refused after a failure.
	Pause time.Duration
}

// Breaker is a circuit breaker: it refuses attempts at once while the platform
// is known to be down. After each pause it admits one attempt as a probe.
type Breaker struct {
	config  BreakerConfig
	failed  bool
	probing bool
	next    time.Time
}

// NewBreaker returns a breaker that admits attempts.
func NewBreaker(c BreakerConfig) *Breaker { return &Breaker{config: c} }

// Admit reports whether an attempt may be made and, if not, how long to wait
// before the next one.
func (b *Breaker) Admit(now time.Time) (bool, time.Duration) {
	if !b.failed {
		return true, 0
	}
	if b.probing || now.Before(b.next) {
		return false, max(b.next.Sub(now), b.config.Pause)
	}
	b.probing = true
	return true, 0
}

// Report records whether a call to the platform succeeded.
func (b *Breaker) Report(now time.Time, ok bool) {
	b.failed, b.probing = !ok, false
	if !ok {
		b.next = now.Add(b.config.Pause)
	}
}
