package entry

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/fleet"
	"gentianwell/core/scale"
	"gentianwell/core/table"
	"gentianwell/io/proxy"
	"gentianwell/io/scaler"
)

const (
	// scaleReportAge is the age up to which load reports count for autoscaling; VMs exchange
	// them up to maxReportAge.
	scaleReportAge = 3 * time.Second
	// scaledSlowStart is the time over which the share of a new replica rises where replicas are
	// ordered: demand changes within seconds there, and new replicas are to take part of it.
	scaledSlowStart = 2 * time.Second
)

// ScalerSeams connects autoscaling with the holder of the duty and the platform's API; see
// scaler.Config.
type ScalerSeams struct {
	Permit         func(now time.Time, takes time.Duration) (duty.Permit, bool)
	Refused, Check func(duty.Permit)
	Order          func(ctx context.Context, p duty.Permit, o scale.Order) error
	// Takes is how long an order may take; zero means a second.
	Takes time.Duration
}

// scalerSeams returns nil if this VM orders no replicas.
func (e *Entry) scalerSeams() *ScalerSeams {
	if e.options.Scaler != nil {
		return e.options.Scaler
	}
	if e.duties == nil || !e.options.Config.Cloud.Has(DutyScale) {
		return nil
	}
	holder := e.duties.holder
	return &ScalerSeams{Permit: holder.Permit, Refused: holder.Refused, Check: holder.Doubt, Order: e.duties.api.OrderReplicas}
}

// autoscaler collects what package scaler needs to know. It exists only where the settings ask for
// the duty, and does nothing for services without autoscaling.
type autoscaler struct {
	entry  *Entry
	scaler *scaler.Scaler

	orders *prometheus.CounterVec
	needed *prometheus.GaugeVec

	mu     sync.Mutex
	meters map[call.Model]*scale.Meter
	// counted is since when the demand for a service has been counted.
	counted map[call.Model]time.Time
	// storeRead is when the list of replicas was last known to be the store's.
	storeRead time.Time
	// zones holds all zones in which a service has had replicas or has a price.
	zones map[call.Model]map[call.Zone]bool
	// slow is true once the router's slow start is set.
	slow bool
}

// newAutoscaler returns the autoscaler of an entry VM and registers its metrics.
//
// Errors: NotValid.
func newAutoscaler(e *Entry, seams ScalerSeams) (*autoscaler, error) {
	a := &autoscaler{
		entry: e, meters: map[call.Model]*scale.Meter{}, counted: map[call.Model]time.Time{}, zones: map[call.Model]map[call.Zone]bool{},
		orders: prometheus.NewCounterVec(prometheus.CounterOpts{
			Name: "gentianwell_scale_orders_total", Help: "Orders of replicas by this VM, by why they were sent and what is known of them.",
		}, []string{"reason", "outcome"}),
		needed: prometheus.NewGaugeVec(prometheus.GaugeOpts{
			Name: "gentianwell_scale_needed_replicas", Help: "Replicas that a zone needs by the last plan of this VM.",
		}, []string{"service", "zone"}),
	}
	e.metrics.registry.MustRegister(a.orders, a.needed)
	var err error
	a.scaler, err = scaler.New(scaler.Config{
		Inputs: a.inputs, Permit: seams.Permit, Refused: seams.Refused, Check: seams.Check, Order: seams.Order, Takes: seams.Takes, Now: e.options.Now, Log: e.log,
		Observe: func(o scale.Order, outcome scale.Outcome) {
			a.orders.WithLabelValues(string(o.Reason), string(outcome)).Inc()
		},
		Planned: func(in scale.Input, d scale.Decision) {
			for zone, n := range d.Need.Zones {
				a.needed.WithLabelValues(string(in.Service), string(zone)).Set(float64(n))
			}
		},
	})
	return a, errors.Trace(err)
}

// inputs returns what is known of each service that is to be scaled.
func (a *autoscaler) inputs(now time.Time) []scale.Input {
	t := a.entry.tables.Current()
	services := t.Autoscaled()
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.entry.storeStatus.up() {
		a.storeRead = now
	}
	if len(services) > 0 && !a.slow {
		a.slow = true
		a.entry.router.SetSlowStart(scaledSlowStart)
	}
	out := make([]scale.Input, 0, len(services))
	for _, s := range services {
		out = append(out, a.input(now, t, s))
	}
	return out
}

// input returns what is known of one service; a.mu is held.
func (a *autoscaler) input(now time.Time, t *table.Table, s table.Service) scale.Input {
	in := scale.Input{Now: now, Service: s.Name, Settings: *s.Autoscale, ListAge: now.Sub(a.storeRead)}
	meter := a.meter(s.Name)
	in.Speed = meter.Speed()
	in.Answers, in.Late = meter.Late(now)
	if since, ok := a.counted[s.Name]; ok {
		in.Measured = now.Sub(since)
	}
	routes := t.Routes(s.Name)
	arrivals := a.entry.router.Arrivals(now, s.Name, a.entry.members.count(), max(scaler.Interval, in.Measured))
	for _, arrival := range arrivals {
		class := scale.Class{Name: arrival.Class, PerSecond: arrival.PerSecond, PromptTokens: arrival.PromptTokens, WorkTokens: arrival.WorkTokens}
		if i := slices.IndexFunc(routes, func(r table.Route) bool { return r.Name == string(arrival.Class) }); i >= 0 {
			class.Target = routes[i].LatencyTarget
		}
		in.Classes = append(in.Classes, class)
	}
	// The router counts only requests with prompts; this VM's share of others is taken as the mean.
	if rate := meter.PerSecond(now); len(arrivals) == 0 && rate > 0 {
		in.Classes = []scale.Class{{PerSecond: rate * float64(a.entry.members.count())}}
	}
	if _, ok := a.counted[s.Name]; !ok && len(in.Classes) > 0 {
		a.counted[s.Name] = now.Add(-scaler.Interval)
	}
	in.Zones = a.zoneInputs(now, s)
	return in
}

// zoneInputs returns the replicas and the load of each zone; a.mu is held.
func (a *autoscaler) zoneInputs(now time.Time, s table.Service) []scale.Zone {
	known := a.zones[s.Name]
	if known == nil {
		known = map[call.Zone]bool{}
		a.zones[s.Name] = known
	}
	counts := a.entry.replicas.counts(now, s.Name)
	for zone := range counts {
		known[zone] = true
	}
	for zone := range s.Autoscale.ZonePrices {
		known[zone] = true
	}
	loads := a.entry.router.ZoneLoads(now, s.Name, scaleReportAge)
	out := make([]scale.Zone, 0, len(known))
	for zone := range known {
		z := scale.Zone{Name: zone, OnDemand: counts[zone].onDemand, Spot: counts[zone].spot}
		for _, l := range loads {
			if l.Zone == zone {
				z.Busy, z.Slots = float64(l.Running+l.Waiting+l.Silent), float64(l.Slots)
				z.Reporting, z.ReportAge = l.Reporting, l.ReportAge
			}
		}
		out = append(out, z)
	}
	slices.SortFunc(out, func(a, b scale.Zone) int { return cmp.Compare(a.Name, b.Name) })
	return out
}

// meter returns the meter of a service; a.mu is held.
func (a *autoscaler) meter(service call.Model) *scale.Meter {
	m := a.meters[service]
	if m == nil {
		m = &scale.Meter{}
		a.meters[service] = m
	}
	return m
}

// observe records a finished request. Only answers at the first attempt show how fast replicas are.
func (a *autoscaler) observe(now time.Time, stats proxy.RequestStats) {
	if a.entry.tables.Current() == nil {
		return
	}
	if s, ok := a.entry.tables.Current().Service(stats.Service); !ok || s.Autoscale == nil {
		return
	}
	refused := stats.Reason == proxy.ReasonAllReplicasFull || stats.Reason == proxy.ReasonOverTeamShare || stats.Reason == proxy.ReasonNoReplica || stats.Reason == proxy.ReasonReplicasRefused || stats.Reason == proxy.ReasonTimeout
	if !refused && stats.Reason != proxy.ReasonDone {
		return
	}
	first := stats.FirstLatency
	if stats.Sends != 1 || stats.TakenUp {
		first = 0
	}
	a.mu.Lock()
	meter := a.meter(stats.Service)
	a.mu.Unlock()
	late := refused || stats.Target > 0 && stats.FirstLatency > stats.Target
	meter.Add(now, scale.Answer{
		Class: call.Class(stats.Route), Tokens: max(0, stats.PromptTokens-stats.SharedTokens), First: first, Stream: stats.Stream, Late: late,
	})
}

// zoneCounts counts the replicas of a service in one zone.
type zoneCounts struct{ onDemand, spot scale.Count }

// counts counts a service's replicas by zone.
func (r *replicas) counts(now time.Time, service call.Model) map[call.Zone]zoneCounts {
	r.mu.Lock()
	defer r.mu.Unlock()
	out := map[call.Zone]zoneCounts{}
	add := func(e fleet.Entry, change func(*scale.Count)) {
		if e.Service != service {
			return
		}
		counts := out[e.Zone]
		if e.Spot {
			change(&counts.spot)
		} else {
			change(&counts.onDemand)
		}
		out[e.Zone] = counts
	}
	for _, e := range r.registry.Usable(now) {
		add(e, func(c *scale.Count) { c.Ready++ })
	}
	for _, e := range r.latest {
		if e.State == fleet.StateLeaving {
			add(e, func(c *scale.Count) {
				c.Draining++
				if e.Leaves > 0 {
					c.Reclaimed++
				}
			})
		}
	}
	return out
}
