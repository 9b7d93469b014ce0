package limit

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/juju/errors"
	"golang.org/x/time/rate"
)

// Local enforces one VM's shares.
type Local struct {
	config LocalConfig
	holder *Holder
	meters map[Key]*meter
}

// NewLocal returns a Local that holds no shares.
//
// Errors: NotValid where the config is.
func NewLocal(c LocalConfig) (*Local, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Local{config: c, holder: NewHolder(), meters: map[Key]*meter{}}, nil
}

// Allow charges all limits of a call, or none where one of them refuses it.
func (l *Local) Allow(now time.Time, charges ...Charge) Decision {
	for _, c := range charges {
		m, ok := l.meter(now, c.Key)
		if !ok {
			continue
		}
		m.ask(now, c.Units, l.config.DemandTime)
		if !m.has(now, c.Units) {
			return l.refuse(now, m, c)
		}
	}
	l.Settle(now, charges...)
	return Decision{Allowed: true, Reason: ReasonWithin}
}

// Settle charges units that were not foreseen, for example an answer that is
// longer than estimated. The bucket may go below zero by that.
func (l *Local) Settle(now time.Time, charges ...Charge) {
	for _, c := range charges {
		if m, ok := l.meter(now, c.Key); ok && c.Units > 0 {
			m.take(now, c.Units)
		}
	}
}

func (l *Local) refuse(now time.Time, m *meter, c Charge) Decision {
	wait := max(m.wait(now, c.Units), time.Second)
	spread := time.Duration(l.config.Rand.Int64N(int64(wait) + 1))
	return Decision{Reason: ReasonOver, Key: c.Key, RetryAfter: wait + spread}
}

// meter returns the key's meter with the present rate; false where there is no
// limit.
func (l *Local) meter(now time.Time, key Key) (*meter, bool) {
	limit := l.config.Limit(key)
	if limit <= 0 {
		return nil, false
	}
	perSecond := l.rate(now, key, limit)
	burst := max(1, int(math.Ceil(perSecond*l.config.BurstTime.Seconds())))
	m, ok := l.meters[key]
	if !ok {
		m = &meter{bucket: rate.NewLimiter(rate.Limit(perSecond), burst), last: now}
		l.meters[key] = m
	}
	m.setRate(now, perSecond, burst)
	return m, true
}

// rate returns the share in force, at least the fallback rate.
func (l *Local) rate(now time.Time, key Key, limit float64) float64 {
	fallback := limit * l.config.Fallback()
	share, _, _ := l.holder.Rate(now, key)
	return max(share, fallback)
}

// Demands returns the demands that are worth telling: those that the fallback
// rate does not cover, where they have changed or the share is to be renewed.
// The greatest come first; the rest has to wait for the next message.
func (l *Local) Demands(now time.Time) Demands {
	l.sweep(now)
	var demands Demands
	for key, m := range l.meters {
		if l.worthTelling(now, key, m) {
			demands = append(demands, Demand{Key: key, Wanted: m.asked})
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

func (l *Local) worthTelling(now time.Time, key Key, m *meter) bool {
	fallback := l.config.Limit(key) * l.config.Fallback()
	if m.asked <= fallback*fallbackMargin && m.reported <= fallback {
		return false
	}
	if now.Sub(m.reportedAt) >= l.config.TTL/2 {
		return true
	}
	return math.Abs(m.asked-m.reported) > l.config.MinChange*max(m.asked, m.reported)
}

// fallbackMargin is the part of the fallback rate below which a demand is not told.
const fallbackMargin = 0.8

// Grant takes in the shares that answer the demands sent at the given time.
// They are in force from now on.
func (l *Local) Grant(now, sent time.Time, shares Shares) {
	l.holder.Grant(sent, shares)
	for _, s := range shares {
		l.meter(now, s.Key)
	}
}

// Len returns how many limits have state.
func (l *Local) Len() int { return len(l.meters) }

// sweep forgets limits that nobody has asked for and whose buckets are full.
func (l *Local) sweep(now time.Time) {
	l.holder.Sweep(now)
	for key, m := range l.meters {
		m.fade(now, l.config.DemandTime)
		if m.idle(now) {
			delete(l.meters, key)
		}
	}
}
