package scale

import (
	"math"
	"time"
)

// unseenPause is how long no spot replicas are ordered if no entry has named one that was ordered
// before. Ordering them again costs their price for some seconds.
const unseenPause = 2 * time.Minute

// Planner plans the replicas of one service.
type Planner struct {
	Config  Config
	History *History
	Ledger  *Ledger
}

// Decision is what to order now.
type Decision struct {
	Orders []Order
	// Reason says why there is no order; it is empty if there is one.
	Reason Reason
	Need   Need
}

// Observe records an input. It is to be called about once a second, also while nothing is planned,
// so that a VM that takes the duty over knows the recent demand.
func (p *Planner) Observe(in Input) {
	h := p.History
	if in.Now.Sub(h.unseenAt) > unseenPause {
		h.unseenAt = time.Time{}
	}
	for _, z := range in.Zones {
		h.spotSeen = h.spotSeen || z.Spot.Ready+z.Spot.Draining > 0
		if !h.spotSeen && h.unseenAt.IsZero() && p.Ledger.unseen(p.Config, in, z.Name) {
			h.unseenAt = in.Now
		}
		// Those that an order has removed are not reclaimed.
		if (z.Spot.Reclaimed > 0 || p.History.lost(z)) && !p.Ledger.removes(z.Name, z.Spot.Ready) {
			p.History.noteReclaimed(in.Now, z.Name)
		}
	}
	p.History.observeSpeed(in.Speed)
	in.Speed = p.History.speed()
	p.History.Observe(p.Config, in)
}

// Plan returns the orders to send now, after Observe with the same input.
func (p *Planner) Plan(in Input) Decision {
	c := p.Config
	in.Speed = p.History.speed()
	switch {
	case len(in.Zones) == 0 || in.Measured < c.Measure || !in.measurable():
		return Decision{Reason: ReasonUnmeasured}
	case in.ListAge > c.MaxAge || !c.reported(in):
		return Decision{Reason: ReasonOldInput}
	}
	d := Decision{Need: c.need(in, p.History)}
	for _, z := range in.Zones {
		d.Orders = append(d.Orders, p.zone(in, z, d.Need.Zones[z.Name], d.Need.Present[z.Name])...)
	}
	if len(d.Orders) == 0 {
		d.Reason = ReasonEnough
	}
	return d
}

// measurable reports whether the work of the classes is known: prompts need the speed of reading.
func (in *Input) measurable() bool {
	for _, class := range in.Classes {
		if class.WorkTokens > 0 && in.Speed.PerToken == 0 {
			return false
		}
	}
	return len(in.Classes) > 0
}

// reported reports whether the load of enough replicas is known.
func (c Config) reported(in Input) bool {
	var ready, reporting float64
	for i := range in.Zones {
		ready, reporting = ready+float64(in.Zones[i].ready()), reporting+float64(in.Zones[i].Reporting)
	}
	return reporting >= c.ReportShare*c.active(in)*ready
}

// active returns the share of the replicas that have probably answered a request within
// Config.MaxAge, from the rate of requests. The others have nothing to report.
func (c Config) active(in Input) float64 {
	var rate, ready float64
	for _, class := range in.Classes {
		rate += class.PerSecond
	}
	for i := range in.Zones {
		ready += float64(in.Zones[i].ready())
	}
	if ready == 0 {
		return 0
	}
	return 1 - math.Exp(-rate*c.MaxAge.Seconds()/ready)
}

// busy returns the number of requests at a zone's replicas. Those whose report is missing count as
// the others.
func (c Config) busy(in Input, z Zone) float64 {
	if z.Reporting == 0 {
		return z.Busy
	}
	return z.Busy * max(1, c.active(in)*float64(z.ready())/float64(z.Reporting))
}

// zone returns the orders for one zone, which needs a number of replicas, and another for its present
// demand.
func (p *Planner) zone(in Input, z Zone, need, present int) []Order {
	c, l := p.Config, p.Ledger
	mayHaveSpot := in.Settings.SpotPrice > 0 && in.Settings.SpotPrice < 1 && l.mayHaveSpot(c, in, p.History, z.Name, z.Spot.Ready)
	if unseen := !p.History.spotSeen && !p.History.unseenAt.IsZero(); unseen {
		// Those that came count as others now, so that the others' number is not known.
		if l.unseen(c, in, z.Name) && l.mayTry(in.Now, z.Name, true) {
			return []Order{{Service: in.Service, Zone: z.Name, Spot: true, Reason: ReasonUnseen}}
		}
		mayHaveSpot = false
	}
	onDemand := l.expected(c, in, z.Name, false, z.OnDemand.Ready)
	spot := z.Spot.Ready
	if !p.reclaimed(in.Now, z) {
		spot = l.expected(c, in, z.Name, true, z.Spot.Ready)
	}
	spotGoal := min(spot, need-1)
	if mayHaveSpot {
		spotGoal = min(int(c.SpotShare*float64(need)), need-1)
	}
	order := func(count int, spot bool, reason Reason) []Order {
		if !l.mayTry(in.Now, z.Name, spot) {
			return nil
		}
		return []Order{{Service: in.Service, Zone: z.Name, Count: count, Spot: spot, Reason: reason}}
	}
	slack := int(math.Ceil(c.Slack * float64(need)))
	switch missing := present - onDemand - spot; {
	case missing > 0:
		spots := 0
		if mayHaveSpot {
			spots = max(0, min(missing, spotGoal-spot))
		}
		var out []Order
		if spots > 0 {
			// The replicas that replace others are ordered with those that are missing.
			out = order(spot+max(spots, replaceable(spotGoal-spot)), true, ReasonShort)
		}
		if missing > spots {
			out = append(out, order(onDemand+missing-spots, false, ReasonShort)...)
		}
		return out
	case mayHaveSpot && spotGoal-spot >= slack && onDemand > need-spotGoal && z.Spot.Ready >= spot:
		out := order(spot+replaceable(spotGoal-spot), true, ReasonSpot)
		return append(out, p.fewer(in, z, need, spotGoal, slack, order)...)
	}
	return p.fewer(in, z, need, spotGoal, slack, order)
}

// replaceable returns how many of the spot replicas that are to replace others are ordered at once:
// two thirds, since new replicas begin with empty caches.
func replaceable(missing int) int { return (2*missing + 2) / 3 }

// fewer returns the order for fewer replicas of a zone, if any. Warm replicas alone count as those
// that can take over.
func (p *Planner) fewer(in Input, z Zone, need, spotGoal, slack int, order func(int, bool, Reason) []Order) []Order {
	c, l := p.Config, p.Ledger
	paused := in.Now.Sub(l.down[z.Name]) < c.DownPause
	pressed := p.History.pressure > 1 && in.Now.Sub(p.History.pressedAt) < c.Window
	if paused || pressed || l.unsettled(c, in.Now, z.Name, false) || l.unsettled(c, in.Now, z.Name, true) {
		return nil
	}
	warmOnDemand, warmSpot := p.History.warm(c, in.Now, z)
	onDemand := min(warmOnDemand, l.expected(c, in, z.Name, false, warmOnDemand))
	spot := min(warmSpot, l.expected(c, in, z.Name, true, warmSpot))
	surplus := min(onDemand+spot-need, max(1, int(c.Step*float64(onDemand+spot))))
	if surplus < slack {
		return nil
	}
	if n := min(surplus, onDemand-max(1, need-spotGoal)); n > 0 {
		reason := ReasonSpare
		if spot > 0 {
			reason = ReasonReplaced
		}
		return order(onDemand-n, false, reason)
	}
	if n := min(surplus, spot-spotGoal); n >= slack {
		return order(spot-n, true, ReasonSpare)
	}
	return nil
}

// reclaimed reports whether the zone's spot replicas have just been reclaimed, so that an earlier
// order for them says nothing.
func (p *Planner) reclaimed(now time.Time, z Zone) bool {
	at := p.History.reclaimed[z.Name]
	return !at.IsZero() && now.Sub(at) <= p.Config.SpotPause
}
