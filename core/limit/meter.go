package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// meter is a VM's bucket and demand for one limit.
type meter struct {
	bucket *rate.Limiter
	// asked is the demand in units a second, faded over DemandTime.
	asked float64
	last  time.Time
	// reported is the demand that was told last, at reportedAt.
	reported   float64
	reportedAt time.Time
}

// fade lets the demand of the past count less.
func (m *meter) fade(now time.Time, over time.Duration) {
	elapsed := now.Sub(m.last)
	if elapsed <= 0 {
		return
	}
	m.asked *= math.Exp(-elapsed.Seconds() / over.Seconds())
	m.last = now
}

func (m *meter) ask(now time.Time, units int, over time.Duration) {
	m.fade(now, over)
	m.asked += float64(units) / over.Seconds()
}

// idle reports whether forgetting the meter loses nothing.
func (m *meter) idle(now time.Time) bool {
	return m.asked < leastRate && m.bucket.TokensAt(now) >= float64(m.bucket.Burst())
}

// setRate puts a share into force.
func (m *meter) setRate(now time.Time, perSecond float64, burst int) {
	if m.bucket.Limit() != rate.Limit(perSecond) {
		m.bucket.SetLimitAt(now, rate.Limit(perSecond))
	}
	if m.bucket.Burst() != burst {
		m.bucket.SetBurstAt(now, burst)
	}
}

// has reports whether the bucket holds the units; a charge above the burst needs
// a full bucket.
func (m *meter) has(now time.Time, units int) bool {
	return m.bucket.TokensAt(now) >= float64(min(units, m.bucket.Burst()))
}

// take charges the units, if need be below zero.
func (m *meter) take(now time.Time, units int) {
	burst := m.bucket.Burst()
	if units > burst {
		m.bucket.SetBurstAt(now, units)
		defer m.bucket.SetBurstAt(now, burst)
	}
	m.bucket.ReserveN(now, units)
}

// wait returns how long until the bucket holds the units.
func (m *meter) wait(now time.Time, units int) time.Duration {
	lacking := float64(min(units, m.bucket.Burst())) - m.bucket.TokensAt(now)
	perSecond := max(float64(m.bucket.Limit()), leastRate)
	return time.Duration(min(lacking/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

const (
	// leastRate keeps the wait finite, in units a second.
	leastRate = 1e-3
	// maxRetryAfter bounds the Retry-After before it is spread.
	maxRetryAfter = time.Minute
)
