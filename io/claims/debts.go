package claims

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/claim"
)

// owe keeps an attempt whose write has to go on. Over the bound the oldest is
// dropped: its record stays as it is until the retention ends, so that repeats
// are told that the call may have been run.
func (c *Claims) owe(attempt *claim.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.debts) >= c.config.MaxBackgroundWrites {
		dropped := c.debts[0].Request()
		c.config.Log.WithFields(logrus.Fields{
			"event": "claimDropped", "request": dropped.ID, "team": dropped.Team, "model": dropped.Service,
		}).Warn("claim's last write given up")
		c.debts = c.debts[1:]
	}
	c.debts = append(c.debts, attempt)
}

// payDebts tries the pending writes until ctx ends.
func (c *Claims) payDebts(ctx context.Context) {
	due := make(chan struct{}, 1)
	stop := c.config.Every("claim debts", c.config.RetryInterval, func(time.Time) {
		select {
		case due <- struct{}{}:
		default:
		}
	})
	defer stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-due:
			c.payAll(ctx)
		}
	}
}

// payAll tries each debt once, and stops at the first that fails.
func (c *Claims) payAll(ctx context.Context) {
	c.mu.Lock()
	debts := c.debts
	c.debts = nil
	c.mu.Unlock()
	for i, attempt := range debts {
		if c.pay(ctx, attempt) {
			continue
		}
		c.mu.Lock()
		c.debts = append(debts[i:], c.debts...)
		c.mu.Unlock()
		return
	}
}

func (c *Claims) pay(ctx context.Context, attempt *claim.Attempt) bool {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	for attempt.Pending() {
		reply := c.writer.write(ctx, attempt.Request(), attempt.Next())
		attempt.Apply(reply)
		if reply.Result == claim.ResultNoEffect || reply.Result == claim.ResultUnknown {
			return false
		}
	}
	return true
}
