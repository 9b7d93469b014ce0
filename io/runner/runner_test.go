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

// fixture is a runner with two replicas, a and b, of one slot each.
type fixture struct {
	*Runner
	mu sync.Mutex
	// sent holds the replicas of all attempts so far.
	sent []call.ReplicaID
}

func newFixture(t *testing.T, send sendFunc) *fixture {
	t.Helper()
	f := &fixture{}
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
	f.Runner, err = New(Config{
		Retry: decide, Poison: suspects, Reserve: func(time.Time, poison.Reservation) {},
		Alive: func(context.Context, back.Target) bool { return false },
		Queue: queue, Router: router, Now: time.Now, Log: log,
		Estimate: func(*call.Call) estim.Estimate { return estim.Estimate{Cost: 1} },
		Observe:  func(Measure) {},
		Send: func(ctx context.Context, to back.Target, _ back.Request, sink func(back.Event) error) (back.Result, error) {
			f.mu.Lock()
			f.sent = append(f.sent, to.ID)
			f.mu.Unlock()
			r := send(ctx, to, sink)
			if !r.Complete() {
				return r, errors.New(string(r.Ending))
			}
			return r, nil
		},
	})
	assert.NilError(t, err)
	return f
}

// job returns a job for a plain service; a non-idempotent one must run at most once.
func job(id string, tier call.Tier, idempotent bool) *Job {
	return &Job{
		Call: call.Call{ID: id, Team: call.Team("t-" + id), Class: "c", Tier: tier, Model: "m", Idempotent: idempotent, Arrived: time.Now()},
		Kind: KindService, Method: http.MethodPost, Path: "/p", Header: http.Header{}, AtMostOnce: !idempotent,
	}
}

// recorder is a sink that records the response.
type recorder struct {
	status int
	text   string
}

func (r *recorder) sink() Sink {
	return Sink{
		Start: func(status int, _ http.Header) error { r.status = status; return nil },
		Write: func(part []byte) error { r.text += string(part); return nil },
	}
}

func completeResult(status int) back.Result {
	return back.Result{Ending: back.EndingComplete, BytesWritten: true, Status: status, Header: http.Header{}, Body: []byte("done")}
}

func TestRunAttempts(t *testing.T) {
	incompleteResult := func(ending back.Ending, wrote bool) back.Result {
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
		{"complete answer", false, completeResult(200), 1, call.OutcomeRan, 0},
		{"unreachable", false, incompleteResult(back.EndingUnreachable, false), 2, call.OutcomeRan, 0},
		{"refused, declared as not run", false, incompleteResult(back.EndingRefused, true), 2, call.OutcomeRan, 0},
		{"crash, idempotent", true, incompleteResult(back.EndingCrashed, true), 2, call.OutcomeRan, 0},
		{"crash, not idempotent", false, incompleteResult(back.EndingCrashed, true), 1, call.OutcomeUnknown, 502},
		{"silent, not idempotent", false, incompleteResult(back.EndingSilent, true), 1, call.OutcomeUnknown, 502},
		{"error, idempotent", true, completeResult(500), 2, call.OutcomeRan, 0},
		{"error, not idempotent", false, completeResult(500), 1, call.OutcomeRan, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			results := []back.Result{tt.first, completeResult(200)}
			f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
				r := results[0]
				results = results[1:]
				return r
			})
			got := f.Run(t.Context(), job("1", 0, tt.idempotent), (&recorder{}).sink())
			assert.Equal(t, len(f.sent), tt.wantSent)
			assert.Equal(t, got.Outcome, tt.wantOutcome)
			assert.Equal(t, got.Status, tt.wantStatus)
			if tt.wantSent == 2 {
				assert.Assert(t, f.sent[0] != f.sent[1], "both attempts went to %s", f.sent[0])
			}
		})
	}
}

// A job whose attempts all fail to connect is reported as not run, with a RetryAfter.
func TestRunNotRun(t *testing.T) {
	f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		return back.Result{Ending: back.EndingUnreachable}
	})
	got := f.Run(t.Context(), job("1", 0, false), (&recorder{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Assert(t, got.RetryAfter > 0)
	assert.Equal(t, len(f.sent), 2)
}

// A stream that breaks off after a part was sent to the caller is reported as failed, never
// as complete.
func TestRunBrokenStream(t *testing.T) {
	f := newFixture(t, func(_ context.Context, _ back.Target, sink func(back.Event) error) back.Result {
		assert.NilError(t, sink(back.Event{Raw: []byte("data: x\n\n")}))
		return back.Result{Ending: back.EndingCrashed, BytesWritten: true, Streamed: true}
	})
	c := &recorder{}
	got := f.Run(t.Context(), job("1", 0, true), c.sink())
	assert.Equal(t, c.text, "data: x\n\n")
	assert.Assert(t, got.Started && got.Failed)
	assert.Equal(t, got.Outcome, call.OutcomeUnknown)
}

// occupyReplicas returns a fixture with both replicas busy until release is called.
func occupyReplicas(t *testing.T) (f *fixture, release func()) {
	block := make(chan struct{})
	f = newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result {
		<-block
		return completeResult(200)
	})
	var running sync.WaitGroup
	for _, id := range []string{"h1", "h2"} {
		running.Go(func() { f.Run(context.Background(), job(id, 7, true), (&recorder{}).sink()) })
	}
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.mu.Lock()
		defer f.mu.Unlock()
		if len(f.sent) == 2 {
			return poll.Success()
		}
		return poll.Continue("%d of 2 sent", len(f.sent))
	})
	return f, func() { close(block); running.Wait() }
}

// start runs a job in the background and waits until the given number of jobs is waiting.
func (f *fixture) start(t *testing.T, ctx context.Context, j *Job, queued int) <-chan Answer {
	t.Helper()
	out := make(chan Answer, 1)
	go func() { out <- f.Run(ctx, j, (&recorder{}).sink()) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		f.Runner.mu.Lock()
		defer f.Runner.mu.Unlock()
		if len(f.waiting) == queued {
			return poll.Success()
		}
		return poll.Continue("%d of %d waiting", len(f.waiting), queued)
	})
	return out
}

// A job that is displaced by a higher tier gets its final answer at once, not only when
// its time in the queue is over.
func TestDisplacedAnswersAtOnce(t *testing.T) {
	f, release := occupyReplicas(t)
	defer release()
	low1 := f.start(t, t.Context(), job("low1", 7, true), 1)
	low2 := f.start(t, t.Context(), job("low2", 7, true), 2)
	f.start(t, t.Context(), job("high1", 0, true), 3)
	f.start(t, t.Context(), job("high2", 0, true), 3)
	var got Answer
	select {
	case got = <-low1:
	case got = <-low2:
	}
	assert.Equal(t, got.Reason, Reason(sched.ReasonDisplaced))
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Assert(t, got.RetryAfter > 0)
}

// When a caller disconnects while its job waits, the job is removed from the queue.
func TestCallerGoneWhileWaiting(t *testing.T) {
	f, release := occupyReplicas(t)
	defer release()
	ctx, cancel := context.WithCancel(t.Context())
	out := f.start(t, ctx, job("1", 3, true), 1)
	cancel()
	assert.Equal(t, (<-out).Reason, ReasonCallerGone)
	f.Runner.mu.Lock()
	defer f.Runner.mu.Unlock()
	assert.Equal(t, f.c.Queue.Len(), 0)
}

// An at-most-once job is not canceled when its caller disconnects.
func TestCallerGoneMidRun(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	f := newFixture(t, func(ctx context.Context, _ back.Target, _ func(back.Event) error) back.Result {
		cancel()
		if ctx.Err() != nil {
			return back.Result{Ending: back.EndingCancelled, BytesWritten: true}
		}
		return completeResult(200)
	})
	got := f.Run(ctx, job("1", 0, false), (&recorder{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeRan)
}

// Ticks are subscribed only while a job waits. A tick after the job's MaxWait refuses it.
func TestTicksWhileJobsWait(t *testing.T) {
	f, release := occupyReplicas(t)
	var tick func(time.Time)
	subscribed := 0
	f.c.SubscribeTicks = func(fn func(time.Time)) func() {
		tick = fn
		subscribed++
		return func() { subscribed-- }
	}
	j := job("1", 3, true)
	j.MaxWait = time.Minute
	out := f.start(t, t.Context(), j, 1)
	assert.Equal(t, subscribed, 1)
	tick(time.Now().Add(2 * time.Minute))
	assert.Equal(t, (<-out).Reason, Reason(sched.ReasonMaxWait))
	assert.Equal(t, subscribed, 0)
	release()
}
