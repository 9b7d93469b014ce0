package claims

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/claim"
)

// Claims makes claims for one VM.
type Claims struct {
	config Config
	writer *writer

	mu    sync.Mutex
	gate  *claim.Breaker
	debts []*claim.Attempt
}

// New returns Claims that work once Run runs.
func New(c Config) *Claims {
	c = c.Defaults()
	return &Claims{
		config: c, writer: newWriter(c),
		gate: claim.NewBreaker(claim.BreakerConfig{Pause: c.Pause}),
	}
}

// Run writes until ctx ends.
func (c *Claims) Run(ctx context.Context) error {
	if err := c.config.Validate(); err != nil {
		return errors.Trace(err)
	}
	var wait sync.WaitGroup
	wait.Go(func() { c.writer.run(ctx) })
	wait.Go(func() { c.payDebts(ctx) })
	wait.Wait()
	return nil
}

// Begin decides on a request. The returned attempt's verdict says what to do;
// only for claim.KindRun has Finish or Release to follow. With the platform down
// it returns at once.
//
// Errors: NotValid for a request that can't be claimed.
func (c *Claims) Begin(ctx context.Context, req claim.Request) (*claim.Attempt, error) {
	if err := req.Validate(); err != nil {
		return nil, errors.Annotate(err, "Claims.Begin")
	}
	if req.Retention == 0 {
		req.Retention = c.config.Retention
	}
	req.Retention = max(req.Retention, MinRetention)
	attempt := claim.NewAttempt(claim.AttemptConfig{
		Request: req, VM: c.config.VM, Nonce: c.config.Nonce, Now: c.config.Now(),
		MaxBody: c.config.MaxBody,
	})
	if !c.admit() {
		attempt.Apply(claim.Reply{Result: claim.ResultNoEffect})
		return attempt, nil
	}
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	for attempt.Verdict().Kind == "" {
		attempt.Apply(c.writer.write(ctx, req, attempt.Next()))
	}
	kind := attempt.Verdict().Kind
	c.report(kind != claim.KindRefused && kind != claim.KindPassOn)
	if attempt.Pending() {
		c.owe(attempt)
	}
	return attempt, nil
}

// RetryAfter is what a refused caller is told to wait at least.
func (c *Claims) RetryAfter() time.Duration { return c.config.Pause }

// Finish records the outcome of a call that was sent. With the platform down
// the write goes on in the background; repeats are told meanwhile that the call
// is in progress.
//
// Errors: claim.ErrNotHeld; others mean that the write goes on.
func (c *Claims) Finish(ctx context.Context, attempt *claim.Attempt, o claim.Outcome) error {
	if err := attempt.Finish(o); err != nil {
		return errors.Annotate(err, "Claims.Finish")
	}
	return errors.Annotate(c.settle(ctx, attempt), "Claims.Finish")
}

// Release gives a claim back that was not sent. The caller may be told "not run"
// whatever the error.
//
// Errors: claim.ErrNotHeld if it was sent; others mean that the write goes on.
func (c *Claims) Release(ctx context.Context, attempt *claim.Attempt) error {
	if err := attempt.Release(); err != nil {
		return errors.Annotate(err, "Claims.Release")
	}
	return errors.Annotate(c.settle(ctx, attempt), "Claims.Release")
}

// BackgroundWrites returns how many writes go on in the background.
func (c *Claims) BackgroundWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.debts)
}

// settle tries the pending write once and leaves it to the background if need be.
func (c *Claims) settle(ctx context.Context, attempt *claim.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	reply := c.writer.write(ctx, attempt.Request(), attempt.Next())
	attempt.Apply(reply)
	if !attempt.Pending() {
		return nil
	}
	c.owe(attempt)
	return errors.Errorf("write not settled: %s", reply.Result)
}

func (c *Claims) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, _ := c.gate.Admit(c.config.Now())
	return ok
}

func (c *Claims) report(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.gate.Report(c.config.Now(), ok)
}
