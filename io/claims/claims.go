package claims

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/claim"
)

// Claims makes and ends claims for one VM.
type Claims struct {
	config Config
	writer *writer
	kept   *kept

	mu      sync.Mutex
	breaker *claim.Breaker
	// background holds the attempts whose writes are retried in the background,
	// oldest first.
	background []*claim.Attempt
}

// New returns Claims. Writes are made only while Run runs.
func New(c Config) *Claims {
	c = c.Defaults()
	k := newKept(c)
	return &Claims{
		config: c, writer: newWriter(c, k), kept: k,
		breaker: claim.NewBreaker(claim.BreakerConfig{Pause: c.Pause}),
	}
}

// Run makes and retries writes until ctx is done.
//
// Errors: NotValid if the config is not valid.
func (c *Claims) Run(ctx context.Context) error {
	if err := c.config.Validate(); err != nil {
		return errors.Trace(err)
	}
	c.probe(ctx)
	var wait sync.WaitGroup
	wait.Go(func() { c.writer.run(ctx) })
	wait.Go(func() { c.retryBackground(ctx) })
	wait.Wait()
	return nil
}

// Begin tries to make a claim. The verdict of the returned attempt says how to
// handle the request; only for claim.KindRun must the caller call Finish or
// Release. While the platform is known to be down, it returns at once.
//
// Errors: NotValid if the request is not valid.
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
	if c.kept.restoring() || !c.admit() {
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
	if kind == claim.KindRun && c.kept.restoring() {
		if err := attempt.Withdraw("the platform came back from an older copy; the key may be another VM's"); err != nil {
			return nil, errors.Annotate(err, "Claims.Begin")
		}
	}
	if attempt.Pending() {
		c.retryLater(attempt)
	}
	return attempt, nil
}

// RetryAfter returns the minimum delay to suggest to a refused caller.
func (c *Claims) RetryAfter() time.Duration { return c.config.Pause }

// Finish records the outcome of a call that was sent. If the platform is down,
// the write is retried in the background; until it succeeds, repeats are told that
// the call is in progress.
//
// Errors: claim.ErrNotHeld; any other error means that the write is being retried.
func (c *Claims) Finish(ctx context.Context, attempt *claim.Attempt, o claim.Outcome) error {
	if err := attempt.Finish(o); err != nil {
		return errors.Annotate(err, "Claims.Finish")
	}
	return errors.Annotate(c.writeOnce(ctx, attempt), "Claims.Finish")
}

// Release gives up the claim of a call that was not sent.
//
// Errors: claim.ErrNotHeld if the call was sent or the claim is not held; any
// other error means that the write is being retried, and the caller may be told
// that the call was not run.
func (c *Claims) Release(ctx context.Context, attempt *claim.Attempt) error {
	if err := attempt.Release(); err != nil {
		return errors.Annotate(err, "Claims.Release")
	}
	return errors.Annotate(c.writeOnce(ctx, attempt), "Claims.Release")
}

// BackgroundWrites returns how many writes wait to be retried in the background.
func (c *Claims) BackgroundWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.background)
}

// writeOnce makes the pending write. If it does not succeed, the write is retried
// in the background.
func (c *Claims) writeOnce(ctx context.Context, attempt *claim.Attempt) error {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	reply := c.writer.write(ctx, attempt.Request(), attempt.Next())
	attempt.Apply(reply)
	if !attempt.Pending() {
		return nil
	}
	c.retryLater(attempt)
	return errors.Errorf("write is retried in the background: result %q", reply.Result)
}

func (c *Claims) admit() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	ok, _ := c.breaker.Admit(c.config.Now())
	return ok
}

func (c *Claims) report(ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.breaker.Report(c.config.Now(), ok)
}
