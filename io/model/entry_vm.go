package model

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// Constants of the simulated entry VMs. Apart from hopTime and pickInterval they have the
// values of io/entry and io/proxy.
const (
	// hopTime is the network time one way between a VM and an engine.
	hopTime = 1500 * time.Microsecond
	// pickInterval is the time between two attempts to find a replica for a waiting
	// call. Real VMs try more often; that would make simulations too slow.
	pickInterval = 20 * time.Millisecond
	// gossipEvery is the time between a VM's rounds of gossip, gossipFanout the number
	// of VMs drawn in each.
	gossipEvery  = 400 * time.Millisecond
	gossipFanout = 2
	// reportAge is the age up to which load reports are passed on.
	reportAge = 2 * time.Second
	// maxSends limits how often a call is sent to a replica.
	maxSends = 4
	// maxRetryAfter is the longest time that a refused caller is told to wait,
	// maxWaitFraction the same as a fraction of the time left until the deadline. The
	// wait is drawn between minWaitFraction of the lower of the two and the whole.
	maxRetryAfter   = 3 * time.Second
	maxWaitFraction = 1.0 / 3
	minWaitFraction = 0.4
	// defaultStreamWaitFraction is the default of VMConfig.StreamWaitFraction.
	defaultStreamWaitFraction = 0.12
)

// entryVM is a simulated entry VM.
type entryVM struct {
	sim    *simulation
	router *route.Router
	index  int
}

// pick sends the call to a replica. If none has capacity it tries again until the
// given time, then refuses the call; if there is no replica at all it refuses at once.
func (v *entryVM) pick(c *simulatedCall, until time.Time, sends int, tried []call.ReplicaID) {
	now := v.sim.clock.now
	d, err := v.router.Pick(now, c.call, tried)
	if err != nil {
		if !now.Before(until) || errors.Is(err, route.ErrNoReplica) {
			v.refuse(c)
			return
		}
		v.sim.clock.after(pickInterval, func() { v.pick(c, until, sends, tried) })
		return
	}
	if d.Replica.Zone != v.sim.deployment.zone(v.index) {
		v.sim.totals.OtherZone++
	}
	v.sim.totals.Sent++
	if d.Expected.Decides {
		v.sim.totals.ByTime++
	}
	c.expected = d.Expected
	v.send(c, d.Replica.ID, until, sends, tried)
}

// refuse lets the caller send the call once more after a wait. A call that was
// refused before or has passed its deadline counts as refused.
func (v *entryVM) refuse(c *simulatedCall) {
	k := v.sim.totals.Kinds[c.kind.Name]
	remaining := c.firstSent.Add(c.kind.Deadline).Sub(v.sim.clock.now)
	if c.retried || remaining <= 0 {
		k.Refused++
		return
	}
	c.retried = true
	longest := min(float64(maxRetryAfter), maxWaitFraction*float64(remaining))
	wait := time.Duration((minWaitFraction + (1-minWaitFraction)*v.sim.rng.Float64()) * longest)
	v.sim.clock.after(wait, func() { v.sim.sendToVM(c) })
}

// send sends the call to a replica. If the replica refuses, another one is picked
// until the call has been sent as often as sends allows.
func (v *entryVM) send(c *simulatedCall, id call.ReplicaID, until time.Time, sends int, tried []call.ReplicaID) {
	s := v.sim
	e := s.engines[id]
	cost := float64(c.call.PromptTokens)
	s.recordSend(id)
	v.router.Started(s.clock.now, id, cost)
	sent := s.clock.now
	c.onEvent = func(l route.Load) { s.clock.after(hopTime, func() { v.recordEvent(c, e, l) }) }
	c.onEnd = func() { s.clock.after(hopTime, func() { v.finish(c, e, cost, sent) }) }
	s.clock.after(hopTime, func() {
		if e.offer(c) {
			v.watchCaller(c, e, cost)
			return
		}
		report := e.reportedLoad()
		s.clock.after(hopTime, func() {
			v.router.Finished(s.clock.now, id, cost, route.Result{Status: route.StatusCanceled})
			v.router.Report(s.clock.now, id, report)
			if sends == 1 {
				v.refuse(c)
				return
			}
			v.pick(c, until, sends-1, append(tried, id))
		})
	})
}

// patience returns how long a caller waits for the next event before it gives up.
func patience(k *Kind) time.Duration { return max(2*time.Second, 4*k.FirstEventTarget, 8*k.MaxPause) }

// watchCaller ends the call when the caller gives up, because no event has come within
// its patience or because its deadline has passed.
func (v *entryVM) watchCaller(c *simulatedCall, e *chunkedEngine, cost float64) {
	s := v.sim
	since := c.firstSent
	if !c.lastEvent.IsZero() {
		since = c.lastEvent
	}
	giveUp := since.Add(patience(c.kind))
	if deadline := c.firstSent.Add(c.kind.Deadline); deadline.Before(giveUp) {
		giveUp = deadline
	}
	s.clock.at(giveUp, func() {
		switch {
		case c.ended:
		case s.clock.now.Before(c.lastEvent.Add(patience(c.kind))) && s.clock.now.Before(c.firstSent.Add(c.kind.Deadline)):
			v.watchCaller(c, e, cost)
		default:
			c.ended = true
			s.totals.Kinds[c.kind.Name].Abandoned++
			e.cancel(c)
			v.router.Finished(s.clock.now, e.id, cost, route.Result{Status: route.StatusCanceled})
		}
	})
}

func (v *entryVM) recordEvent(c *simulatedCall, e *chunkedEngine, l route.Load) {
	now := v.sim.clock.now
	if c.firstEvent.IsZero() {
		c.firstEvent = now
		v.router.Report(now, e.id, l)
	} else if now.Sub(c.lastEvent) > c.kind.MaxPause {
		c.pausedTooLong = true
	}
	c.lastEvent = now
}

func (v *entryVM) finish(c *simulatedCall, e *chunkedEngine, cost float64, sent time.Time) {
	if c.ended {
		return
	}
	c.ended = true
	s := v.sim
	v.router.Finished(s.clock.now, e.id, cost, route.Result{Status: route.StatusOK, FirstToken: c.firstEvent.Sub(sent), Gap: c.gap(), Expected: c.expected})
	k := s.totals.Kinds[c.kind.Name]
	if !c.pausedTooLong && c.firstEvent.Sub(c.firstSent) <= c.kind.FirstEventTarget {
		k.OnTime++
		k.EarnedWorth += c.worthFactor * c.kind.Worth
		return
	}
	k.Late++
	k.EarnedWorth += c.worthFactor * c.kind.LateWorth
}

// gossip exchanges load reports and demands with gossipFanout random VMs. If the VM
// draws itself, that draw is skipped.
func (v *entryVM) gossip() {
	now := v.sim.clock.now
	for range gossipFanout {
		other := v.sim.vms[v.sim.rng.IntN(len(v.sim.vms))]
		if other == v {
			continue
		}
		ownReports, otherReports := v.router.Reports(now, reportAge), other.router.Reports(now, reportAge)
		for id, l := range ownReports {
			other.router.Report(now, id, l)
		}
		for id, l := range otherReports {
			v.router.Report(now, id, l)
		}
		if v.sim.config.NoDemandGossip {
			continue
		}
		ownDemands, otherDemands := v.router.Demands(now), other.router.Demands(now)
		other.router.AverageDemands(now, ownDemands)
		v.router.AverageDemands(now, otherDemands)
	}
}
