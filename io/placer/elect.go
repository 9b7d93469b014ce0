package placer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/place"
	"gentianwell/io/duty"
)

// elector takes part in the election of the VM that places models.
type elector struct {
	*duty.Elector
	config   Config
	polledAt time.Time
}

func newElector(c Config) *elector {
	return &elector{config: c, Elector: duty.NewElector(duty.ElectorConfig{
		Service: c.Service, VM: c.VM, Nonce: c.Nonce, Now: c.Now, Key: c.Key, TTL: c.TTL, Margin: c.Margin,
		RenewTimeout: c.TTL / renewDivisor, CampaignTimeout: c.TTL / pollDivisor, ComparesValues: true,
	})}
}

// step ends an expired term, and renews the lease or tries to acquire it when that
// is due.
func (e *elector) step(ctx context.Context) error {
	now := e.config.Now()
	if t := e.Term(); t != nil && !t.Held(now) {
		e.End()
	}
	switch {
	case e.Term() != nil && now.Sub(e.RenewedAt()) >= e.config.TTL/renewDivisor:
		return errors.Trace(e.Renew(ctx, true))
	case e.Term() == nil && now.Sub(e.polledAt) >= e.config.TTL/pollDivisor:
		e.polledAt = now
		_, err := e.Campaign(ctx)
		return errors.Trace(err)
	}
	return nil
}

// rules returns the rules for orders in the present term; nil if this VM does not hold the lease.
func (e *elector) rules() *place.Term {
	if e.Term() == nil {
		return nil
	}
	return place.TermOf(e.config.termConfig(), e.Term())
}
