package scaler

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/scale"
)

// Scaler orders replicas while this VM has the permit.
type Scaler struct {
	c  Config
	mu sync.Mutex
	// planners holds the planner of each service.
	planners map[call.Model]*planner
	// token is the permit's with which the ledgers were begun; held is true while this VM has it.
	token int64
	held  bool
}

// planner is the planner of one service with the reason last logged.
type planner struct {
	scale.Planner
	logged scale.Reason
}

// New returns a Scaler, which does nothing until Tick is called.
//
// Errors: NotValid.
func New(c Config) (*Scaler, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "scaler.New")
	}
	return &Scaler{c: c, planners: map[call.Model]*planner{}}, nil
}

// Tick observes all services, and plans and orders if this VM has the permit. It does not wait for
// the orders.
func (s *Scaler) Tick(now time.Time) {
	inputs := s.c.Inputs(now)
	permit, held := s.c.Permit(now, s.c.Takes)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.setToken(permit, held)
	present := map[call.Model]bool{}
	sent := 0
	for _, in := range inputs {
		present[in.Service] = true
		p := s.planners[in.Service]
		if p == nil {
			p = &planner{Planner: scale.Planner{Config: s.c.Planner, History: &scale.History{}, Ledger: &scale.Ledger{}}}
			s.planners[in.Service] = p
		}
		p.Observe(in)
		if !held {
			continue
		}
		d := p.Plan(in)
		s.c.Planned(in, d)
		s.logReason(p, in, d)
		for _, o := range d.Orders {
			if sent++; sent <= maxOrders {
				p.Ledger.Sent(now, o, readyOf(in, o))
				go s.order(permit, p, in, d, o)
			}
		}
	}
	for service := range s.planners {
		if !present[service] {
			delete(s.planners, service)
		}
	}
}

// setToken forgets the earlier orders when the token changes: another VM may have ordered since. With
// the same token none has, even if this VM had no permit for a moment.
func (s *Scaler) setToken(permit duty.Permit, held bool) {
	if held != s.held || held && permit.Token != s.token {
		s.c.Log.WithFields(logrus.Fields{"event": "scaleDuty", "held": held, "token": permit.Token, "before": s.token}).Info("permit to order replicas changed")
	}
	s.held = held
	if !held || permit.Token == s.token {
		return
	}
	s.token = permit.Token
	for _, p := range s.planners {
		p.Ledger.Forget()
		p.logged = ""
	}
}

// order sends an order and records its outcome.
func (s *Scaler) order(permit duty.Permit, p *planner, in scale.Input, d scale.Decision, o scale.Order) {
	ctx, cancel := context.WithTimeout(context.Background(), s.c.Takes)
	defer cancel()
	began := s.c.Now()
	err := s.c.Order(ctx, permit, o)
	now := s.c.Now()
	outcome := outcomeOf(o, err)
	s.mu.Lock()
	if s.token == permit.Token {
		p.Ledger.Ended(now, o, outcome)
	}
	s.mu.Unlock()
	s.c.Observe(o, outcome)
	s.logOrder(permit, in, d, o, outcome, now.Sub(began), err)
	switch {
	case !errors.Is(err, duty.ErrFenced):
	case o.Spot:
		s.c.Check(permit)
	default:
		s.c.Refused(permit)
	}
}

// outcomeOf returns what the error of a call says of the order. An error of another kind leaves it
// unknown, as no answer does.
func outcomeOf(o scale.Order, err error) scale.Outcome {
	switch {
	case err == nil:
		return scale.OutcomeDone
	case errors.Is(err, duty.ErrFenced) && o.Spot:
		return scale.OutcomeNone
	case errors.Is(err, duty.ErrFenced), errors.Is(err, duty.ErrNotDone):
		return scale.OutcomeNotDone
	}
	return scale.OutcomeUnknown
}

func readyOf(in scale.Input, o scale.Order) int {
	for i := range in.Zones {
		if z := &in.Zones[i]; z.Name == o.Zone {
			if o.Spot {
				return z.Spot.Ready
			}
			return z.OnDemand.Ready
		}
	}
	return 0
}
