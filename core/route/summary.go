package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentianwell/core/call"
)

// ZoneLoad sums what is known of a model's replicas in an availability zone.
type ZoneLoad struct {
	Zone call.Zone
	// Replicas is the number of listed replicas, Slots the sum of their slots.
	Replicas, Slots int
	// Running and Waiting sum the load reports that are young enough, of which there are
	// Reporting with a mean age of ReportAge.
	Running, Waiting int
	Reporting        int
	ReportAge        time.Duration
	// InFlight is the number of this VM's calls on all of them, Silent on those without such a
	// report.
	InFlight, Silent int
}

// ZoneLoads returns the load of a model's replicas by zone, sorted by zone. Reports older than maxAge
// do not count.
func (r *Router) ZoneLoads(now time.Time, model call.Model, maxAge time.Duration) []ZoneLoad {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[model]
	if p == nil {
		return nil
	}
	var out []ZoneLoad
	for _, s := range p.all {
		i := slices.IndexFunc(out, func(z ZoneLoad) bool { return z.Zone == s.Zone })
		if i < 0 {
			i, out = len(out), append(out, ZoneLoad{Zone: s.Zone})
		}
		z := &out[i]
		z.Replicas, z.Slots, z.InFlight = z.Replicas+1, z.Slots+s.Slots, z.InFlight+s.inFlight
		age := now.Sub(s.lastReport.MeasuredAt)
		if s.lastReport.MeasuredAt.IsZero() || age > maxAge {
			z.Silent += s.inFlight
			continue
		}
		z.Running, z.Waiting = z.Running+s.lastReport.Running, z.Waiting+s.lastReport.Waiting
		z.Reporting++
		z.ReportAge += (age - z.ReportAge) / time.Duration(z.Reporting)
	}
	slices.SortFunc(out, func(a, b ZoneLoad) int { return cmp.Compare(a.Zone, b.Zone) })
	return out
}

// Arrivals is the demand of one class at all VMs.
type Arrivals struct {
	Class     call.Class
	PerSecond float64
	// PromptTokens and WorkTokens are those of Demand; zero for calls without tokens.
	PromptTokens, WorkTokens float64
}

// Arrivals returns the demand for a model at a number of VMs, if calls have been counted for a time.
// Demands average over the VMs, and their counts begin at zero.
func (r *Router) Arrivals(now time.Time, model call.Model, vms int, counted time.Duration) []Arrivals {
	seconds := rateTimeConstant.Seconds() * (1 - math.Exp(-counted.Seconds()/rateTimeConstant.Seconds()))
	if seconds <= 0 {
		return nil
	}
	var out []Arrivals
	for _, d := range r.Demands(now) {
		if d.Model == model {
			out = append(out, Arrivals{Class: d.Class, PerSecond: d.Seen * float64(vms) / seconds, PromptTokens: d.PromptTokens, WorkTokens: d.WorkTokens})
		}
	}
	return out
}

// SetSlowStart sets the time over which a new replica's share rises to its full share.
func (r *Router) SetSlowStart(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.cfg.SlowStart = d
}
