package runner

import (
	"context"
	"math/rand/v2"
	"net/http"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/estim"
	"gentianwell/core/gwtest"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/sched"
	"gentianwell/io/back"
)

// sendFunc answers one attempt on one replica.
type sendFunc func(ctx context.Context, t back.Target, sink func(back.Event) error) back.Result

// bench is a runner before replicas a and b of one slot each.
type bench struct {
	*Runner
	mu   sync.Mutex
	sent []call.ReplicaID
}

func newBench(t *testing.T, send sendFunc) *bench {
	t.Helper()
	b := &bench{}
	router, err := route.New(route.Config{Self: "e1", Zone: "z", Rand: rand.New(rand.NewPCG(gwtest.Seed(), 1))})
	assert.NilError(t, err)
	address := netip.MustParseAddrPort("127.0.0.1:1")
	router.SetReplicas(time.Now(), route.Replicas{
		{ID: "a", Zone: "z", Address: address, Models: []call.Model{"m"}, Slots: 1},
		{ID: "b", Zone: "z", Address: address, Models: []call.Model{"m"}, Slots: 1},
	})
	qc := sched.Defaults()
	qc.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 2))
	qc.SharedCapacity, qc.TierCapacity = 1, 1
	queue, err := sched.New(qc)
	assert.NilError(t, err)
	log, _ := logtest.NewNullLogger()
	decide, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(gwtest.Seed(), 3))})
	assert.NilError(t, err)
	suspects, err := poison.New(poison.Config{Self: "e1", SpreadTime: time.Millisecond})
	assert.NilError(t, err)
	b.Runner, err = New(Config{
		Retry: decide, Poison: suspects, Reserve: func(time.Time, poison.Reservation) {},
		Alive: func(context.Context, back.Target) bool { return false },
		Queue: queue, Router: router, Now: time.Now, Log: log,
		Estimate: func(*call.Call) estim.Guess { return estim.Guess{Cost: 1} },
		Observe:  func(Measure) {},
		Send: func(ctx context.Context, to back.Target, _ back.Request, sink func(back.Event) error) (back.Result, error) {
			b.mu.Lock()
			b.sent = append(b.sent, to.ID)
			b.mu.Unlock()
			r := send(ctx, to, sink)
			if !r.Complete() {
				return r, errors.New(string(r.Ending))
			}
			return r, nil
		},
	})
	assert.NilError(t, err)
	return b
}

func job(id string, tier call.Tier, idempotent bool) *Job {
	return &Job{
		Call: call.Call{ID: id, Team: call.Team("t-" + id), Class: "c", Tier: tier, Model: "m", Idempotent: idempotent, Arrived: time.Now()},
		Kind: KindService, Method: http.MethodPost, Path: "/p", Header: http.Header{}, AtMostOnce: !idempotent,
	}
}

// collect is a sink that keeps what it gets.
type collect struct {
	status int
	text   string
}

func (c *collect) sink() Sink {
	return Sink{
		Start: func(status int, _ http.Header) error { c.status = status; return nil },
		Write: func(part []byte) error { c.text += string(part); return nil },
	}
}

func whole(status int) back.Result {
	return back.Result{Ending: back.EndingComplete, BytesWritten: true, Status: status, Header: http.Header{}, Body: []byte("done")}
}

func TestRunAttempts(t *testing.T) {
	ends := func(ending back.Ending, wrote bool) back.Result {
		return back.Result{Ending: ending, BytesWritten: wrote, Status: http.StatusServiceUnavailable, Header: http.Header{}}
	}
	tests := []struct {
		name        string
		idempotent  bool
		first       back.Result
		wantSent    int
		wantOutcome call.Outcome
		wantStatus  int
	}{
		{"whole", false, whole(200), 1, call.OutcomeRan, 0},
		{"unreachable", false, ends(back.EndingUnreachable, false), 2, call.OutcomeRan, 0},
		{"refused by contract", false, ends(back.EndingRefused, true), 2, call.OutcomeRan, 0},
		{"crash, may be run again", true, ends(back.EndingCrashed, true), 2, call.OutcomeRan, 0},
		{"crash, may not", false, ends(back.EndingCrashed, true), 1, call.OutcomeUnknown, 502},
		{"silent, may not", false, ends(back.EndingSilent, true), 1, call.OutcomeUnknown, 502},
		{"error, may be run again", true, whole(500), 2, call.OutcomeRan, 0},
		{"error, may not", false, whole(500), 1, call.OutcomeRan, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			results := []back.Result{tt.first, whole(200)}
			b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
				r := results[0]
				results = results[1:]
				return r
			})
			got := b.Run(t.Context(), job("1", 0, tt.idempotent), (&collect{}).sink())
			assert.Equal(t, len(b.sent), tt.wantSent)
			assert.Equal(t, got.Outcome, tt.wantOutcome)
			assert.Equal(t, got.Status, tt.wantStatus)
			if tt.wantSent == 2 {
				assert.Assert(t, b.sent[0] != b.sent[1], "tried twice on %s", b.sent[0])
			}
		})
	}
}

// A job that nothing could be sent to is not run, and says when to come back.
func TestRunNotRun(t *testing.T) {
	b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingUnreachable}
	})
	got := b.Run(t.Context(), job("1", 0, false), (&collect{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Assert(t, got.RetryAfter > 0)
	assert.Equal(t, len(b.sent), 2)
}

// A stream that breaks off after it has begun is never passed off as whole.
func TestRunBrokenStream(t *testing.T) {
	b := newBench(t, func(_ context.Context, _ back.Target, sink func(back.Event) error) back.Result {
		assert.NilError(t, sink(back.Event{Raw: []byte("data: x\n\n")}))
		return back.Result{Ending: back.EndingCrashed, BytesWritten: true, Streamed: true}
	})
	c := &collect{}
	got := b.Run(t.Context(), job("1", 0, true), c.sink())
	assert.Equal(t, c.text, "data: x\n\n")
	assert.Assert(t, got.Started && got.Failed)
	assert.Equal(t, got.Outcome, call.OutcomeUnknown)
}

// hold keeps both replicas busy until released.
func hold(t *testing.T) (b *bench, release func()) {
	block := make(chan struct{})
	b = newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		<-block
		return whole(200)
	})
	var running sync.WaitGroup
	for _, id := range []string{"h1", "h2"} {
		running.Go(func() { b.Run(context.Background(), job(id, 7, true), (&collect{}).sink()) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.mu.Lock()
		defer b.mu.Unlock()
		if len(b.sent) == 2 {
			return poll.Success()
		}
		return poll.Continue("%d of 2 sent", len(b.sent))
	})
	return b, func() { close(block); running.Wait() }
}

// start runs a job in the background and waits until it is queued.
func (b *bench) start(t *testing.T, ctx context.Context, j *Job, queued int) <-chan Answer {
	t.Helper()
	out := make(chan Answer, 1)
	go func() { out <- b.Run(ctx, j, (&collect{}).sink()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		b.Runner.mu.Lock()
		defer b.Runner.mu.Unlock()
		if len(b.waiting) == queued {
			return poll.Success()
		}
		return poll.Continue("%d of %d waiting", len(b.waiting), queued)
	})
	return out
}

// A job that a higher tier displaces gets its final answer at once, not at its
// deadline.
func TestDisplacedAnswersAtOnce(t *testing.T) {
	b, release := hold(t)
	defer release()
	low1 := b.start(t, t.Context(), job("low1", 7, true), 1)
	low2 := b.start(t, t.Context(), job("low2", 7, true), 2)
	b.start(t, t.Context(), job("high1", 0, true), 3)
	b.start(t, t.Context(), job("high2", 0, true), 3)
	var got Answer
	select {
	case got = <-low1:
	case got = <-low2:
	}
	assert.Equal(t, got.Reason, Reason(sched.ReasonDisplaced))
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Assert(t, got.RetryAfter > 0)
}

// A caller that goes away while its job waits leaves nothing in the queue.
func TestCallerGoneWhileWaiting(t *testing.T) {
	b, release := hold(t)
	defer release()
	ctx, cancel := context.WithCancel(t.Context())
	out := b.start(t, ctx, job("1", 3, true), 1)
	cancel()
	assert.Equal(t, (<-out).Reason, ReasonCallerGone)
	b.Runner.mu.Lock()
	defer b.Runner.mu.Unlock()
	assert.Equal(t, b.c.Queue.Len(), 0)
}

// A caller that goes away does not stop a job that may only run once.
func TestCallerGoneMidRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	b := newBench(t, func(ctx context.Context, _ back.Target, _ func(back.Event) error) back.Result {
		cancel()
		if ctx.Err() != nil {
			return back.Result{Ending: back.EndingCancelled, BytesWritten: true}
		}
		return whole(200)
	})
	got := b.Run(ctx, job("1", 0, false), (&collect{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeRan)
}

// Ticks are subscribed while a job waits, and only then; they give up on it in time.
func TestTicksWhileJobsWait(t *testing.T) {
	b, release := hold(t)
	var tick func(time.Time)
	subscribed := 0
	b.c.Every = func(fn func(time.Time)) func() {
		tick = fn
		subscribed++
		return func() { subscribed-- }
	}
	j := job("1", 3, true)
	j.MaxWait = time.Minute
	out := b.start(t, t.Context(), j, 1)
	assert.Equal(t, subscribed, 1)
	tick(time.Now().Add(2 * time.Minute))
	assert.Equal(t, (<-out).Reason, Reason(sched.ReasonMaxWait))
	assert.Equal(t, subscribed, 0)
	release()
}
