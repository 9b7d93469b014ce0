package model

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// What an entry VM does; the figures are those of io/entry and io/proxy.
const (
	// hop is the way between a VM and an engine.
	hop = 1500 * time.Microsecond
	// lookEvery is how often a call that waits looks for a place; the VMs look more
	// often, which the model has no time for.
	lookEvery = 20 * time.Millisecond
	// gossipEvery and gossipPeers are the pace of the talk between VMs.
	gossipEvery = 400 * time.Millisecond
	gossipPeers = 2
	// reportAge is the age up to which reports are passed on.
	reportAge = 2 * time.Second
	// passingSends bounds the sends of a call.
	passingSends = 4
	// returnAfter is the longest that a refused caller is told to wait, returnShare
	// the part of its time left that it waits at most. The returns are spread between
	// returnSoonest and the whole.
	returnAfter   = 3 * time.Second
	returnShare   = 1.0 / 3
	returnSoonest = 0.4
	// defaultWait is how long a call waits for a place, as a part of its target.
	defaultWait = 0.12
)

// passer is an entry VM.
type passer struct {
	p      *played
	router *route.Router
}

// place looks for a replica until a time, then refuses.
func (v *passer) place(a *ask, until time.Time, sends int, tried []call.ReplicaID) {
	now := v.p.clock.now
	d, err := v.router.Pick(now, a.call, tried)
	if err != nil {
		if !now.Before(until) || errors.Is(err, route.ErrNoReplica) {
			v.refuse(a)
			return
		}
		v.p.clock.after(lookEvery, func() { v.place(a, until, sends, tried) })
		return
	}
	v.send(a, d.Replica.ID, until, sends, tried)
}

func (v *passer) refuse(a *ask) {
	k := v.p.totals.Kinds[a.kind.Name]
	left := a.asked.Add(a.kind.Deadline).Sub(v.p.clock.now)
	if a.again || left <= 0 {
		k.Refused++
		return
	}
	a.again = true
	longest := min(float64(returnAfter), returnShare*float64(left))
	wait := time.Duration((returnSoonest + (1-returnSoonest)*v.p.rng.Float64()) * longest)
	v.p.clock.after(wait, func() { v.p.enter(a) })
}

func (v *passer) send(a *ask, id call.ReplicaID, until time.Time, sends int, tried []call.ReplicaID) {
	p := v.p
	b := p.engines[id]
	cost := float64(a.call.PromptTokens)
	v.router.Started(p.clock.now, id, cost)
	sent := p.clock.now
	a.event = func(l route.Load) { p.clock.after(hop, func() { v.event(a, b, l) }) }
	a.end = func() { p.clock.after(hop, func() { v.end(a, b, cost, sent) }) }
	p.clock.after(hop, func() {
		if b.offer(a) {
			v.watch(a, b, cost)
			return
		}
		report := b.report()
		p.clock.after(hop, func() {
			v.router.Finished(p.clock.now, id, cost, route.Result{Status: route.StatusCanceled})
			v.router.Report(p.clock.now, id, report)
			if sends == 1 {
				v.refuse(a)
				return
			}
			v.place(a, until, sends-1, append(tried, id))
		})
	})
}

// patience is how long callers wait for the next event.
func patience(k *Kind) time.Duration { return max(2*time.Second, 4*k.FirstEventTarget, 8*k.MaxPause) }

// watch lets the caller leave when nothing comes.
func (v *passer) watch(a *ask, b *batch, cost float64) {
	p := v.p
	since := a.asked
	if !a.last.IsZero() {
		since = a.last
	}
	leave := since.Add(patience(a.kind))
	if deadline := a.asked.Add(a.kind.Deadline); deadline.Before(leave) {
		leave = deadline
	}
	p.clock.at(leave, func() {
		switch {
		case a.ended:
		case p.clock.now.Before(a.last.Add(patience(a.kind))) && p.clock.now.Before(a.asked.Add(a.kind.Deadline)):
			v.watch(a, b, cost)
		default:
			a.ended = true
			p.totals.Kinds[a.kind.Name].Abandoned++
			b.drop(a)
			v.router.Finished(p.clock.now, b.id, cost, route.Result{Status: route.StatusCanceled})
		}
	})
}

func (v *passer) event(a *ask, b *batch, l route.Load) {
	now := v.p.clock.now
	if a.first.IsZero() {
		a.first = now
		v.router.Report(now, b.id, l)
	} else if now.Sub(a.last) > a.kind.MaxPause {
		a.paused = true
	}
	a.last = now
}

func (v *passer) end(a *ask, b *batch, cost float64, sent time.Time) {
	if a.ended {
		return
	}
	a.ended = true
	p := v.p
	v.router.Finished(p.clock.now, b.id, cost, route.Result{Status: route.StatusOK, FirstToken: a.first.Sub(sent)})
	k := p.totals.Kinds[a.kind.Name]
	if !a.paused && a.first.Sub(a.asked) <= a.kind.FirstEventTarget {
		k.OnTime++
		k.EarnedWorth += a.size * a.kind.Worth
		return
	}
	k.Late++
	k.EarnedWorth += a.size * a.kind.LateWorth
}

// gossip exchanges reports and demands with a few other VMs.
func (v *passer) gossip() {
	now := v.p.clock.now
	for range gossipPeers {
		other := v.p.vms[v.p.rng.IntN(len(v.p.vms))]
		if other == v {
			continue
		}
		mine, theirs := v.router.Reports(now, reportAge), other.router.Reports(now, reportAge)
		for id, l := range mine {
			other.router.Report(now, id, l)
		}
		for id, l := range theirs {
			v.router.Report(now, id, l)
		}
		if v.p.passing.NoDemandGossip {
			continue
		}
		have, heard := v.router.Demands(now), other.router.Demands(now)
		other.router.AverageDemands(now, have)
		v.router.AverageDemands(now, heard)
	}
}
