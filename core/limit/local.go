package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Local enforces the shares of one VM.
type Local struct {
	config LocalConfig
	holder *Holder
	meters map[Key]*meter
}

// NewLocal returns a Local that holds no shares.
//
// Errors: NotValid if the config is not valid.
func NewLocal(c LocalConfig) (*Local, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Local{config: c, holder: NewHolder(), meters: map[Key]*meter{}}, nil
}

// Allow charges a call to all its limits, or to none if one of them refuses it.
func (l *Local) Allow(now time.Time, charges ...Charge) Decision {
	for _, c := range charges {
		m, ok := l.meter(now, c.Key)
		if !ok {
			continue
		}
		m.addDemand(now, c.Units, l.config.DemandTime)
		if !m.covers(now, c.Units) {
			return l.refuse(now, m, c)
		}
	}
	l.Settle(now, charges...)
	return Decision{Allowed: true, Reason: ReasonWithin}
}

// Settle charges units that Allow did not charge, for example if a response is
// longer than estimated. It may overdraw the bucket.
func (l *Local) Settle(now time.Time, charges ...Charge) {
	for _, c := range charges {
		if m, ok := l.meter(now, c.Key); ok && c.Units > 0 {
			m.take(now, c.Units)
		}
	}
}

func (l *Local) refuse(now time.Time, m *meter, c Charge) Decision {
	wait := max(m.wait(now, c.Units), time.Second)
	jitter := time.Duration(l.config.Rand.Int64N(int64(wait) + 1))
	return Decision{Reason: ReasonOver, Key: c.Key, RetryAfter: wait + jitter}
}

// meter returns the key's meter, set to the current rate; false if the key has
// no limit.
func (l *Local) meter(now time.Time, key Key) (*meter, bool) {
	limit := l.config.Limit(key)
	if limit <= 0 {
		return nil, false
	}
	perSecond := l.rate(now, key, limit)
	burst := max(1, int(math.Ceil(perSecond*l.config.BurstTime.Seconds())))
	m, ok := l.meters[key]
	if !ok {
		m = &meter{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), lastDecay: now}
		l.meters[key] = m
	}
	m.setRate(now, perSecond, burst)
	return m, true
}

// rate returns the valid share, at least the fallback rate.
func (l *Local) rate(now time.Time, key Key, limit float64) float64 {
	fallback := limit * l.config.Fallback()
	share, _, _ := l.holder.Rate(now, key)
	return max(share, fallback)
}

// Demands returns the demands to report: those that the fallback rate does not
// cover, if they have changed or the share is due for renewal. The greatest
// come first; those beyond MaxDemands wait for the next message.
func (l *Local) Demands(now time.Time) Demands {
	l.sweep(now)
	var demands Demands
	for key, m := range l.meters {
		if l.shouldReport(now, key, m) {
			demands = append(demands, Demand{Key: key, Wanted: m.demand})
		}
	}
	slices.SortFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Wanted, a.Wanted), cmp.Compare(a.Key, b.Key))
	})
	demands = demands[:min(len(demands), l.config.MaxDemands)]
	for _, d := range demands {
		m := l.meters[d.Key]
		m.reported, m.reportedAt = d.Wanted, now
	}
	return demands
}

func (l *Local) shouldReport(now time.Time, key Key, m *meter) bool {
	fallback := l.config.Limit(key) * l.config.Fallback()
	if m.demand <= fallback*fallbackMargin && m.reported <= fallback {
		return false
	}
	if now.Sub(m.reportedAt) >= l.config.TTL/2 {
		return true
	}
	return math.Abs(m.demand-m.reported) > l.config.MinChange*max(m.demand, m.reported)
}

// fallbackMargin is the part of the fallback rate up to which a demand is not reported.
const fallbackMargin = 0.8

// Grant applies the shares of a reply to demands that were sent at the given
// time. They take effect at once.
func (l *Local) Grant(now, sent time.Time, shares Shares) {
	l.holder.Grant(sent, shares)
	for _, s := range shares {
		l.meter(now, s.Key)
	}
}

// Len returns the number of limits that have state.
func (l *Local) Len() int { return len(l.meters) }

// sweep deletes the meters of limits that have no demand left and whose buckets
// are full.
func (l *Local) sweep(now time.Time) {
	l.holder.Sweep(now)
	for key, m := range l.meters {
		m.decay(now, l.config.DemandTime)
		if m.idle(now) {
			delete(l.meters, key)
		}
	}
}
