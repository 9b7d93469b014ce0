package quota

import (
	"math"
	"time"
)

// state is what a VM knows of one replica.
type state struct {
	Replica
	// recent is a count of the requests that this VM has sent; it decays exponentially with
	// Config.Window, so that it is about the number of requests within that.
	recent   float64
	recentAt time.Time
	// limited is true while a limit is known to be in force. version is that of the latest
	// record.
	limited bool
	limit   float64
	version uint64
	// knownAt is when this VM last heard that the limit was named, by an answer or another VM;
	// toldAt when another VM told it or it told others.
	knownAt, toldAt time.Time
	// forgetAt is when the limit is forgotten.
	forgetAt time.Time
	// holders is the number of VMs that hold a part of the limit; tokens is this VM's part.
	holders int
	tokens  bucket
}

// sent counts a request.
func (s *state) sent(now time.Time, window time.Duration) {
	s.recent = s.recentSends(now, window) + 1
	s.recentAt = now
	if s.limited {
		s.tokens.refill(now)
		s.tokens.balance--
	}
}

// recentSends returns about the number of requests within the window.
func (s *state) recentSends(now time.Time, window time.Duration) float64 {
	if s.recent == 0 {
		return 0
	}
	return s.recent * math.Exp(-float64(max(0, now.Sub(s.recentAt)))/float64(window))
}

// charge takes what this VM has sent within the window, times factor, from its part.
func (s *state) charge(now time.Time, c Config, factor float64) {
	part := s.tokens.rate * c.Window.Seconds()
	s.tokens.balance = max(-part, min(s.tokens.balance, part-factor*s.recentSends(now, c.Window)))
}
