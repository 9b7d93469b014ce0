package claims

import (
	"context"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/claim"
)

// retryLater adds an attempt whose write must be retried. If there are too many,
// the oldest is dropped. Its record then stays unchanged until the retention ends,
// so repeats are told that the call may have been run.
func (c *Claims) retryLater(attempt *claim.Attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.background) >= c.config.MaxBackgroundWrites {
		dropped := c.background[0].Request()
		c.config.Log.WithFields(logrus.Fields{
			"event": "claimDropped", "request": dropped.ID, "team": dropped.Team, "model": dropped.Service,
		}).Warn("too many claim writes wait for a retry; dropped the oldest")
		c.background = c.background[1:]
	}
	c.background = append(c.background, attempt)
}

// retryBackground retries the background writes at each RetryInterval until ctx is
// done.
func (c *Claims) retryBackground(ctx context.Context) {
	due := make(chan struct{}, 1)
	stop := c.config.Every("claim retries", c.config.RetryInterval, func(time.Time) {
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
			c.restoreKept(ctx)
			c.retryAll(ctx)
		}
	}
}

// retryAll retries the background writes in order and stops at the first failure.
func (c *Claims) retryAll(ctx context.Context) {
	c.mu.Lock()
	attempts := c.background
	c.background = nil
	c.mu.Unlock()
	for i, attempt := range attempts {
		if c.retry(ctx, attempt) {
			continue
		}
		c.mu.Lock()
		c.background = append(attempts[i:], c.background...)
		c.mu.Unlock()
		return
	}
}

// retry makes the attempt's writes until none is pending. It returns false at the
// first write that had no effect or whose effect is unknown.
func (c *Claims) retry(ctx context.Context, attempt *claim.Attempt) bool {
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
