package claim

import "time"

// BreakerConfig configures a Breaker.
type BreakerConfig struct {
	// Pause is how long attempts are refused at once after a failure.
	Pause time.Duration
}

// Breaker refuses attempts at once while the platform is known to be down. After
// each pause it lets one through to find out.
type Breaker struct {
	config  BreakerConfig
	failed  bool
	probing bool
	next    time.Time
}

// NewBreaker returns an open gate.
func NewBreaker(c BreakerConfig) *Breaker { return &Breaker{config: c} }

// Admit reports whether an attempt may be made, and if not, after what time to
// try again.
func (g *Breaker) Admit(now time.Time) (bool, time.Duration) {
	if !g.failed {
		return true, 0
	}
	if g.probing || now.Before(g.next) {
		return false, max(g.next.Sub(now), g.config.Pause)
	}
	g.probing = true
	return true, 0
}

// Report tells how a call to the platform ended.
func (g *Breaker) Report(now time.Time, ok bool) {
	g.failed, g.probing = !ok, false
	if !ok {
		g.next = now.Add(g.config.Pause)
	}
}
