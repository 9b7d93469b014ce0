package limit

import (
	"math"
	"time"

	"golang.org/x/time/rate"
)

// meter is a VM's token bucket and its measured demand for one limit.
type meter struct {
	bucket *rate.Limiter
	// demand is in units a second, as an exponential moving average over
	// LocalConfig.DemandTime, last decayed at lastDecay.
	demand    float64
	lastDecay time.Time
	// reported is the demand that was reported last, at reportedAt.
	reported   float64
	reportedAt time.Time
}

// decay applies the exponential decay of the demand up to now.
func (m *meter) decay(now time.Time, over time.Duration) {
	elapsed := now.Sub(m.lastDecay)
	if elapsed <= 0 {
		return
	}
	m.demand *= math.Exp(-elapsed.Seconds() / over.Seconds())
	m.lastDecay = now
}

func (m *meter) addDemand(now time.Time, units int, over time.Duration) {
	m.decay(now, over)
	m.demand += float64(units) / over.Seconds()
}

// idle reports whether deleting the meter loses nothing.
func (m *meter) idle(now time.Time) bool {
	return m.demand < minRate && m.bucket.TokensAt(now) >= float64(m.bucket.Burst())
}

// setRate sets the bucket's rate and burst.
func (m *meter) setRate(now time.Time, perSecond float64, burst int) {
	if m.bucket.Limit() != rate.Limit(perSecond) {
		m.bucket.SetLimitAt(now, rate.Limit(perSecond))
	}
	if m.bucket.Burst() != burst {
		m.bucket.SetBurstAt(now, burst)
	}
}

// covers reports whether the bucket holds the units; a charge above the burst
// needs a full bucket.
func (m *meter) covers(now time.Time, units int) bool {
	return m.bucket.TokensAt(now) >= float64(min(units, m.bucket.Burst()))
}

// take removes the units and may overdraw the bucket.
func (m *meter) take(now time.Time, units int) {
	burst := m.bucket.Burst()
	if units > burst {
		m.bucket.SetBurstAt(now, units)
		defer m.bucket.SetBurstAt(now, burst)
	}
	m.bucket.ReserveN(now, units)
}

// wait returns the time until the bucket covers the units.
func (m *meter) wait(now time.Time, units int) time.Duration {
	lacking := float64(min(units, m.bucket.Burst())) - m.bucket.TokensAt(now)
	perSecond := max(float64(m.bucket.Limit()), minRate)
	return time.Duration(min(lacking/perSecond, maxRetryAfter.Seconds()) * float64(time.Second))
}

const (
	// minRate, in units a second, keeps the wait finite. A demand below it counts as
	// none.
	minRate = 1e-3
	// maxRetryAfter bounds the Retry-After before jitter is added.
	maxRetryAfter = time.Minute
)
