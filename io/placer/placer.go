package placer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/place"
)

// Placer takes part in holding the lease, and orders while it holds it.
type Placer struct {
	config  Config
	elector *elector
	// planner and fenced belong to one tenure. Fenced is when an engine that
	// checks numbers had surely seen this holder's.
	planner *place.Planner
	fenced  map[call.ReplicaID]time.Time
	number  int64
}

// New returns a placer that works while Run runs.
func New(c Config) *Placer {
	c = c.Defaults()
	return &Placer{config: c, elector: &elector{config: c}}
}

// Run works until ctx ends.
func (p *Placer) Run(ctx context.Context) error {
	if err := p.config.Validate(); err != nil {
		return errors.Trace(err)
	}
	due := make(chan struct{}, 1)
	stop := p.config.Every("placer", p.config.Interval, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer stop()
	for {
		select {
		case <-ctx.Done():
			if err := p.elector.resign(); err != nil {
				p.config.Log.WithError(err).WithField("event", "placerLease").Warn("lease not given back")
			}
			return nil
		case <-due:
			p.step(ctx)
		}
	}
}

func (p *Placer) step(ctx context.Context) {
	if !p.keep(ctx) {
		return
	}
	replicas := p.config.Replicas()
	p.fence(ctx, replicas)
	if p.elector.tenure == nil {
		return
	}
	p.mark(replicas)
	p.order(ctx, replicas)
}

// order gives the orders of one plan, unless another tenure begins meanwhile.
func (p *Placer) order(ctx context.Context, replicas place.Replicas) {
	planner := p.planner
	byID := make(map[call.ReplicaID]*place.Replica, len(replicas))
	for i := range replicas {
		byID[replicas[i].ID] = &replicas[i]
	}
	for _, order := range planner.Plan(p.config.Now(), p.config.Needs(), replicas) {
		if p.planner != planner {
			return
		}
		if err := p.give(ctx, order, byID[order.Replica].ChecksOrders); errors.Is(err, ErrNotSent) {
			planner.NotSent(order)
		}
	}
}

// keep takes or keeps the lease, and reports whether it is held.
func (p *Placer) keep(ctx context.Context) bool {
	if err := p.elector.step(ctx); err != nil {
		p.config.Log.WithError(err).WithField("event", "placerLease").Warn("lease not renewed or taken")
	}
	tenure := p.elector.tenure
	if tenure == nil {
		return false
	}
	if tenure.FencingToken != p.number {
		p.number = tenure.FencingToken
		p.planner = place.NewPlanner(p.config.Planner)
		p.fenced = map[call.ReplicaID]time.Time{}
		p.config.Log.WithFields(logrus.Fields{"event": "placerTaken", "vm": p.config.VM, "fencing": p.number}).Info("placer took over")
	}
	return true
}

// fence gives this holder's number to engines that check numbers, by ordering
// what they hold already, so that no earlier holder's order arrives any more.
func (p *Placer) fence(ctx context.Context, replicas place.Replicas) {
	given := 0
	for _, r := range replicas {
		if _, done := p.fenced[r.ID]; done || !r.ChecksOrders || len(r.Loaded) == 0 {
			continue
		}
		if given++; given > p.config.MaxFencingOrders || p.elector.tenure == nil {
			return
		}
		order := place.Order{
			Replica: r.ID, Artifact: r.Loaded[0], Action: place.ActionLoad, Reason: "new fencing number",
		}
		if err := p.give(ctx, order, true); err != nil {
			continue
		}
	}
}

// mark sets from when on each engine's reports count and whether it may be
// ordered now.
func (p *Placer) mark(replicas place.Replicas) {
	tenure, now := p.elector.tenure, p.config.Now()
	for i := range replicas {
		r := &replicas[i]
		r.OrdersAllowed, _ = tenure.MayOrder(now, r.ChecksOrders)
		r.EarlierOrdersEnded = time.Time{}
		switch settled := tenure.EarlierOrdersEnd(); {
		case r.ChecksOrders:
			r.EarlierOrdersEnded = p.fenced[r.ID]
		case !now.Before(settled):
			r.EarlierOrdersEnded = settled
		}
	}
}

// give gives one order if the lease still covers it. An order planned in an
// earlier tenure isn't given in a later one.
func (p *Placer) give(ctx context.Context, order place.Order, checks bool) error {
	planned := p.number
	if !p.keep(ctx) || p.number != planned {
		return errors.Annotate(ErrNotSent, "Placer.give: no lease")
	}
	tenure, now := p.elector.tenure, p.config.Now()
	if ok, reason := tenure.MayOrder(now, checks); !ok {
		return errors.Annotatef(ErrNotSent, "Placer.give: %s", reason)
	}
	ends := now.Add(p.config.Planner.OrderTimeout)
	if until := tenure.Until(); until.Before(ends) {
		ends = until
	}
	ctx, cancel := context.WithDeadline(ctx, ends)
	defer cancel()
	err := p.config.SendOrder(ctx, Order{Order: order, FencingToken: p.number})
	p.log(order, err)
	switch {
	case errors.Is(err, ErrRefused):
		p.elector.drop()
	case err == nil && checks:
		p.markFenced(order.Replica)
	}
	return errors.Annotate(err, "Placer.give")
}

func (p *Placer) markFenced(id call.ReplicaID) {
	if _, done := p.fenced[id]; !done {
		p.fenced[id] = p.config.Now()
	}
}

func (p *Placer) log(o place.Order, err error) {
	p.config.Log.WithFields(logrus.Fields{
		"event": "order", "replica": o.Replica, "model": o.Artifact.String(), "action": o.Action,
		"reason": o.Reason, "fencing": p.number, "error": err,
	}).Info("order given")
}
