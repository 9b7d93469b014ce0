package placer

import (
	"context"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/place"
)

// Placer takes part in the election and sends orders while it holds the lease.
type Placer struct {
	config  Config
	elector *elector
	// planner, fencedAt and fencingToken belong to one term. fencedAt is a time by
	// which an engine that checks fencing tokens had certainly seen this one.
	planner      *place.Planner
	fencedAt     map[call.ReplicaID]time.Time
	fencingToken int64
}

// New returns a placer that does nothing until Run is called.
func New(c Config) *Placer {
	c = c.Defaults()
	return &Placer{config: c, elector: newElector(c)}
}

// Run takes part in the election and, while this VM holds the lease, plans and sends
// orders, until ctx ends. Then it revokes the lease if this VM holds it.
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
			if err := p.elector.Resign(); err != nil {
				p.config.Log.WithError(err).WithField("event", "placerLease").Warn("could not revoke the lease")
			}
			return nil
		case <-due:
			p.step(ctx)
		}
	}
}

func (p *Placer) step(ctx context.Context) {
	if !p.keepLease(ctx) {
		return
	}
	replicas := p.config.Replicas()
	p.sendFencingOrders(ctx, replicas)
	if p.elector.Term() == nil {
		return
	}
	p.updateReplicas(replicas)
	p.sendPlan(ctx, replicas)
}

// sendPlan plans once and sends the orders. It stops if a new term begins meanwhile.
func (p *Placer) sendPlan(ctx context.Context, replicas place.Replicas) {
	planner := p.planner
	byID := make(map[call.ReplicaID]*place.Replica, len(replicas))
	for i := range replicas {
		byID[replicas[i].ID] = &replicas[i]
	}
	for _, order := range planner.Plan(p.config.Now(), p.config.Needs(), replicas) {
		if p.planner != planner {
			return
		}
		if err := p.send(ctx, order, byID[order.Replica].ChecksOrders); errors.Is(err, ErrNotSent) {
			planner.NotSent(order)
		}
	}
}

// keepLease acquires or renews the lease if that is due, and reports whether it is
// held. It resets the planner when a new term begins.
func (p *Placer) keepLease(ctx context.Context) bool {
	if err := p.elector.step(ctx); err != nil {
		p.config.Log.WithError(err).WithField("event", "placerLease").Warn("could not renew or acquire the lease")
	}
	term := p.elector.Term()
	if term == nil {
		return false
	}
	if term.Token != p.fencingToken {
		p.fencingToken = term.Token
		p.planner = place.NewPlanner(p.config.Planner)
		p.fencedAt = map[call.ReplicaID]time.Time{}
		p.config.Log.WithFields(logrus.Fields{"event": "placerTaken", "vm": p.config.VM, "fencing": p.fencingToken}).Info("lease acquired, placer starts a new term")
	}
	return true
}

// sendFencingOrders sends this term's fencing token to engines that check tokens and
// haven't accepted it yet, so that they refuse the orders of earlier lease holders from
// then on. The order is to load an artifact that the engine reported as loaded.
func (p *Placer) sendFencingOrders(ctx context.Context, replicas place.Replicas) {
	sent := 0
	for _, r := range replicas {
		if _, done := p.fencedAt[r.ID]; done || !r.ChecksOrders || len(r.Loaded) == 0 {
			continue
		}
		if sent++; sent > p.config.MaxFencingOrders || p.elector.Term() == nil {
			return
		}
		order := place.Order{
			Replica: r.ID, Artifact: r.Loaded[0], Action: place.ActionLoad, Reason: "new fencing token",
		}
		if err := p.send(ctx, order, true); err != nil {
			continue
		}
	}
}

// updateReplicas sets EarlierOrdersEnded and OrdersAllowed of each replica. At an
// engine that checks fencing tokens, earlier orders have ended once it has accepted
// this term's token; at any other, after Term.EarlierOrdersEnd.
func (p *Placer) updateReplicas(replicas place.Replicas) {
	term, now := p.elector.rules(), p.config.Now()
	for i := range replicas {
		r := &replicas[i]
		r.OrdersAllowed, _ = term.MayOrder(now, r.ChecksOrders)
		r.EarlierOrdersEnded = time.Time{}
		switch earlierOrdersEnd := term.EarlierOrdersEnd(); {
		case r.ChecksOrders:
			r.EarlierOrdersEnded = p.fencedAt[r.ID]
		case !now.Before(earlierOrdersEnd):
			r.EarlierOrdersEnded = earlierOrdersEnd
		}
	}
}

// send sends one order if the lease still covers it. An order planned in an earlier
// term isn't sent in a later one.
func (p *Placer) send(ctx context.Context, order place.Order, checksOrders bool) error {
	plannedUnder := p.fencingToken
	if !p.keepLease(ctx) || p.fencingToken != plannedUnder {
		return errors.Annotate(ErrNotSent, "Placer.send: lease lost since the order was planned")
	}
	term, now := p.elector.rules(), p.config.Now()
	if ok, reason := term.MayOrder(now, checksOrders); !ok {
		return errors.Annotatef(ErrNotSent, "Placer.send: %s", reason)
	}
	deadline := now.Add(p.config.Planner.OrderTimeout)
	if until := term.Until(); until.Before(deadline) {
		deadline = until
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	err := p.config.SendOrder(ctx, Order{Order: order, FencingToken: p.fencingToken})
	p.logOrder(order, err)
	switch {
	case errors.Is(err, ErrRefused):
		p.elector.End()
	case err == nil && checksOrders:
		p.recordFenced(order.Replica)
	}
	return errors.Annotate(err, "Placer.send")
}

func (p *Placer) recordFenced(id call.ReplicaID) {
	if _, done := p.fencedAt[id]; !done {
		p.fencedAt[id] = p.config.Now()
	}
}

// logOrder logs an order that was passed to SendOrder, with the error if there was one.
func (p *Placer) logOrder(o place.Order, err error) {
	p.config.Log.WithFields(logrus.Fields{
		"event": "order", "replica": o.Replica, "model": o.Artifact.String(), "action": o.Action,
		"reason": o.Reason, "fencing": p.fencingToken, "error": err,
	}).Info("send order")
}
