package route

import (
	"slices"
	"time"
)

// Speeds returns the number of models whose calls are routed by expected times, the median age of
// the replicas' work figures, and the greatest estimate of how long work takes on one of them as a
// factor of the usual. The last two are zero if no replica reports a work figure.
func (r *Router) Speeds(now time.Time) (models int, age time.Duration, slowest float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pools {
		if !r.cfg.IgnoreSpeeds && (p.expect.decides(now, 0, r.cfg.MeasuredSpeeds) || p.expect.decides(now, 1, r.cfg.MeasuredSpeeds)) {
			models++
		}
	}
	var ages []time.Duration
	for _, s := range r.byID {
		if s.listed && !s.speed.workAt.IsZero() {
			ages = append(ages, now.Sub(s.speed.workAt))
			slowest = max(slowest, s.speed.at(now).value)
		}
	}
	if len(ages) > 0 {
		slices.Sort(ages)
		age = ages[len(ages)/2]
	}
	return models, age, slowest
}
