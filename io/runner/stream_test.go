package runner

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/estim"
	"gentianwell/core/gwtest"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/sched"
	"gentianwell/core/stream"
	"gentianwell/io/back"
	"gentianwell/io/fakes"
	"gentianwell/io/relay"
)

// progress is the progress timeout in the tests.
const progress = 250 * time.Millisecond

// engines is a runner with fake engines, each behind a relay.
type engines struct {
	*Runner
	mu     sync.Mutex
	list   []*fakes.Engine
	relays []*relay.Relay
	last   Measure
	// fault is injected into the engine of each of the first faultyAttempts attempts; sent
	// counts the attempts.
	fault          fakes.Fault
	faultyAttempts int
	sent           int
}

func newEngines(t *testing.T, n int, profile stream.Profile, changes ...func(*fakes.EngineConfig, *back.Config)) *engines {
	t.Helper()
	e := &engines{}
	ec := fakes.EngineConfig{Models: []string{"m"}, TokenGap: time.Millisecond}
	bc := back.Config{FirstByteTimeout: progress, ProgressTimeout: progress}
	for _, change := range changes {
		change(&ec, &bc)
	}
	var replicas route.Replicas
	for i := range n {
		id := fmt.Sprintf("m%d", i)
		ec.ID = id
		engine, err := fakes.NewEngine(ec)
		assert.NilError(t, err)
		srv := httptest.NewServer(engine.Handler())
		t.Cleanup(srv.Close)
		r, err := relay.New(relay.Config{Target: srv.Listener.Addr().(*net.TCPAddr).AddrPort()})
		assert.NilError(t, err)
		t.Cleanup(r.Close)
		e.list, e.relays = append(e.list, engine), append(e.relays, r)
		replicas = append(replicas, route.Replica{ID: call.ReplicaID(id), Zone: "z", Address: r.Address(), Models: []call.Model{"m"}})
	}
	client, err := back.New(bc)
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	router, err := route.New(route.Config{Self: "e1", Zone: "z", Rand: rand.New(rand.NewPCG(gwtest.Seed(), 1))})
	assert.NilError(t, err)
	router.SetReplicas(time.Now(), replicas)
	qc := sched.Defaults()
	qc.Rand = rand.New(rand.NewPCG(gwtest.Seed(), 2))
	queue, err := sched.New(qc)
	assert.NilError(t, err)
	log, _ := logtest.NewNullLogger()
	decide, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(gwtest.Seed(), 3))})
	assert.NilError(t, err)
	suspects, err := poison.New(poison.Config{Self: "e1", SpreadTime: time.Millisecond})
	assert.NilError(t, err)
	e.Runner, err = New(Config{
		Retry: decide, Poison: suspects, Reserve: func(time.Time, poison.Reservation) {}, Alive: client.Alive,
		Queue: queue, Router: router, Now: time.Now, Log: log,
		Send: func(ctx context.Context, to back.Target, req back.Request, sink func(back.Event) error) (back.Result, error) {
			e.injectFault(to)
			return client.Do(ctx, to, req, sink)
		},
		Estimate:          func(*call.Call) estim.Estimate { return estim.Estimate{Cost: 1} },
		FirstTokenTimeout: bc.FirstByteTimeout, Observe: e.observe,
		Profile: func(call.Model) stream.Profile { return profile },
	})
	assert.NilError(t, err)
	return e
}

func (e *engines) observe(m Measure) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.last = m
}

// injectFault injects the fault into the engine of an attempt that is to fail.
func (e *engines) injectFault(to back.Target) {
	if e.faultyAttempts == 0 {
		return
	}
	e.sent++
	if e.sent > e.faultyAttempts {
		return
	}
	for i, engine := range e.list {
		if string(to.ID) == fmt.Sprintf("m%d", i) {
			engine.Inject(e.fault)
		}
	}
}

// runs returns the number of requests that the engines ran.
func (e *engines) runs() int {
	total := 0
	for _, engine := range e.list {
		for _, n := range engine.Runs().Bodies {
			total += n
		}
	}
	return total
}

// streamJob returns a job for a streamed answer of the given kind.
func streamJob(kind stream.Kind, prompt string, idempotent bool) *Job {
	j := job("r1", 0, idempotent)
	j.Kind, j.Stream, j.AtMostOnce = KindEngine, true, false
	j.ProgressTimeout = progress
	j.Path = "/v1/completions"
	j.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"prompt":%q}`, prompt)
	if kind == stream.KindChat {
		j.Path = "/v1/chat/completions"
		j.Body = fmt.Appendf(nil, `{"model":"m","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	}
	return j
}

// streamReader is a sink that parses the stream that a caller gets.
type streamReader struct {
	text   string
	ids    map[string]bool
	finish int
	done   int
	parts  int
	onPart func(n int)
}

type streamChunk struct {
	ID      string `json:"id"`
	Choices []struct {
		Delta  struct{ Content string } `json:"delta"`
		Text   string                   `json:"text"`
		Finish *string                  `json:"finish_reason"`
	} `json:"choices"`
}

func (r *streamReader) sink() Sink {
	return Sink{Start: func(int, http.Header) error { return nil }, Write: r.write}
}

func (r *streamReader) write(part []byte) error {
	r.parts++
	if r.onPart != nil {
		r.onPart(r.parts)
	}
	data := strings.TrimSpace(strings.TrimPrefix(string(part), "data: "))
	if data == "[DONE]" {
		r.done++
		return nil
	}
	var c streamChunk
	if err := json.Unmarshal([]byte(data), &c); err != nil {
		return err
	}
	r.ids[c.ID] = true
	for _, choice := range c.Choices {
		r.text += choice.Delta.Content + choice.Text
		if choice.Finish != nil {
			r.finish++
		}
	}
	return nil
}

// fakeProfile is the profile of the fake engines.
var fakeProfile = stream.Profile{CanResume: true, CountsTokens: true, TokenPerChunk: true, NamesRequest: true}

// The first two attempts have the fault. The caller still gets the complete answer in one
// stream, with the third attempt at the latest.
func TestStreamIsCompleteDespiteFaults(t *testing.T) {
	tests := []struct {
		name  string
		fault fakes.Fault
		runs  int
	}{
		{"cut", fakes.Fault{Kind: fakes.FaultCut, AfterTokens: 3, Times: 1}, 3},
		{"cut before the first token", fakes.Fault{Kind: fakes.FaultCut, Times: 1}, 3},
		{"frozen", fakes.Fault{Kind: fakes.FaultFreeze, AfterTokens: 3, Times: 1}, 3},
		{"no answer", fakes.Fault{Kind: fakes.FaultHang, Times: 1}, 3},
		{"truncated without an error", fakes.Fault{Kind: fakes.FaultTruncate, AfterTokens: 3, Times: 1}, 3},
		{"chunk of another answer", fakes.Fault{Kind: fakes.FaultCrossed, AfterTokens: 2, Times: 1}, 3},
		{"chunk of another answer first", fakes.Fault{Kind: fakes.FaultCrossed, Times: 1}, 3},
		{"refused", fakes.Fault{Kind: fakes.FaultRefuse, Times: 1}, 1},
		{"repeated chunk", fakes.Fault{Kind: fakes.FaultDuplicate, AfterTokens: 3, Times: 1}, 1},
	}
	for _, tt := range tests {
		for _, kind := range []stream.Kind{stream.KindChat, stream.KindCompletion} {
			t.Run(tt.name+", "+string(kind), func(t *testing.T) {
				e := newEngines(t, 3, fakeProfile)
				e.fault, e.faultyAttempts = tt.fault, 2
				r := &streamReader{ids: map[string]bool{}}
				answer := e.Run(t.Context(), streamJob(kind, "hello [[length=12]]", true), r.sink())
				assert.Equal(t, answer.Failed, false, answer.Message)
				assert.Equal(t, answer.Outcome, call.OutcomeRan)
				assert.Equal(t, r.text, fakes.AnswerText("hello [[length=12]]", 0, -1))
				assert.Equal(t, len(r.ids), 1)
				assert.Equal(t, r.finish == 1 && r.done == 1, true, "%+v", r)
				assert.Equal(t, e.runs(), tt.runs)
			})
		}
	}
}

// The stream is complete even if the connections to the engines are reset or go silent in
// mid-stream. The engines themselves have no fault.
func TestStreamIsCompleteDespiteLostConnections(t *testing.T) {
	tests := []struct {
		name string
		lose func(*relay.Relay)
	}{
		{"reset", (*relay.Relay).Reset},
		{"frozen", (*relay.Relay).Freeze},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngines(t, 2, fakeProfile)
			const prompt = "hello [[length=300]]"
			r := &streamReader{ids: map[string]bool{}, onPart: func(n int) {
				if n == 5 || n == 50 {
					tt.lose(e.relays[0])
					tt.lose(e.relays[1])
				}
			}}
			answer := e.Run(t.Context(), streamJob(stream.KindChat, prompt, true), r.sink())
			assert.Equal(t, answer.Failed, false, answer.Message)
			assert.Equal(t, r.text, fakes.AnswerText(prompt, 0, -1))
			assert.Equal(t, e.last.WastedTokens, 0)
		})
	}
}

// A stream whose connection goes silent continues on a new one at the same engine if there
// is no other, also if the stream has its only slot.
func TestStreamContinuesAtItsOnlyEngine(t *testing.T) {
	e := newEngines(t, 1, fakeProfile)
	e.c.Router.SetReplicas(time.Now(), route.Replicas{{ID: "m0", Zone: "z", Address: e.relays[0].Address(), Models: []call.Model{"m"}, Slots: 1}})
	const prompt = "hello [[length=100]]"
	r := &streamReader{ids: map[string]bool{}, onPart: func(n int) {
		if n == 5 {
			e.relays[0].Freeze()
		}
	}}
	ctx, cancel := context.WithTimeout(t.Context(), 40*progress)
	defer cancel()
	answer := e.Run(ctx, streamJob(stream.KindChat, prompt, true), r.sink())
	assert.Equal(t, answer.Failed, false, answer.Message)
	assert.Equal(t, r.text, fakes.AnswerText(prompt, 0, -1))
}

// All idle connections to the engines have gone silent, and the engines take longer to
// their first token than the timeout of a reused connection. The request must succeed on
// a new connection, which has a longer timeout.
func TestSilentPoolWithSlowEngines(t *testing.T) {
	e := newEngines(t, 3, fakeProfile, func(ec *fakes.EngineConfig, bc *back.Config) {
		ec.PrefillTime = 2 * progress
		bc.FirstByteTimeout = 20 * progress
	})
	warm := make(chan Answer, 9)
	for i := range cap(warm) {
		j := streamJob(stream.KindChat, "warm", true)
		j.Call.ID = fmt.Sprint("w", i)
		go func() { warm <- e.Run(t.Context(), j, (&streamReader{ids: map[string]bool{}}).sink()) }()
	}
	for range cap(warm) {
		assert.Equal(t, (<-warm).Failed, false)
	}
	for _, r := range e.relays {
		r.Freeze()
	}
	r := &streamReader{ids: map[string]bool{}}
	prompt := strings.Repeat("x", fakes.BlockBytes)
	answer := e.Run(t.Context(), streamJob(stream.KindChat, prompt, true), r.sink())
	assert.Equal(t, answer.Outcome, call.OutcomeRan, answer.Message)
	assert.Equal(t, r.text, fakes.AnswerText(prompt, 0, -1))
}

// An answer that the caller does not want as a stream and that takes longer than the
// progress timeout is generated only once, also on a reused connection.
func TestLongPlainAnswerIsRunOnce(t *testing.T) {
	e := newEngines(t, 1, fakeProfile, func(ec *fakes.EngineConfig, _ *back.Config) { ec.TokenGap = 10 * time.Millisecond })
	const prompt = "hello [[length=60]]"
	for i := range 2 {
		j := streamJob(stream.KindCompletion, prompt, true)
		j.Stream, j.Body = false, []byte(strings.Replace(string(j.Body), `"stream":true`, `"stream":false`, 1))
		c := &recorder{}
		answer := e.Run(t.Context(), j, c.sink())
		assert.Equal(t, answer.Outcome, call.OutcomeRan, answer.Message)
		assert.Assert(t, strings.Contains(c.text, fakes.AnswerText(prompt, 0, -1)), c.text)
		assert.Equal(t, e.runs(), i+1)
	}
}

// Once the caller has a part of the answer, the next attempt gets only the progress timeout
// to its first token, since the caller is already waiting for the next part. The last one
// waits until the deadline, as nothing can follow it.
func TestResumeDoesNotWaitForAHungEngine(t *testing.T) {
	e := newEngines(t, 1, fakeProfile, func(_ *fakes.EngineConfig, bc *back.Config) { bc.FirstByteTimeout = time.Hour })
	e.list[0].Inject(fakes.Fault{Kind: fakes.FaultFreeze, AfterTokens: 3, Times: 1})
	e.list[0].Inject(fakes.Fault{Kind: fakes.FaultHang})
	ctx, cancel := context.WithTimeout(t.Context(), 20*progress)
	defer cancel()
	j := streamJob(stream.KindChat, "hello", true)
	j.Call.Deadline = time.Now().Add(8 * progress)
	answer := e.Run(ctx, j, (&streamReader{ids: map[string]bool{}}).sink())
	assert.Equal(t, answer.Reason, ReasonIncomplete, answer.Message)
	assert.Equal(t, e.runs(), 3)
}

// An at-most-once request runs to its end even if its caller disconnects in mid-stream.
func TestCallerDisconnectsFromAtMostOnceStream(t *testing.T) {
	e := newEngines(t, 1, fakeProfile)
	j := streamJob(stream.KindChat, "hello", false)
	j.AtMostOnce = true
	answer := e.Run(t.Context(), j, Sink{
		Start: func(int, http.Header) error { return nil },
		Write: func([]byte) error { return errors.New("caller is gone") },
	})
	assert.Equal(t, answer.Outcome, call.OutcomeRan, answer.Message)
	assert.Equal(t, int(e.list[0].Tokens()), fakes.AnswerLength("hello"))
}

// An answer that cannot be completed is reported as failed. The caller gets neither a
// finish reason nor [DONE].
func TestIncompleteStreamIsReportedAsFailed(t *testing.T) {
	cut := fakes.Fault{Kind: fakes.FaultCut, AfterTokens: 3}
	tests := []struct {
		name       string
		profile    stream.Profile
		idempotent bool
		fault      fakes.Fault
		want       string
		runs       int
	}{
		{"the engine cannot resume", stream.Profile{}, true, cut, "cannot resume", 1},
		{"not idempotent", fakeProfile, false, cut, "must not run again", 1},
		{"every attempt is cut", fakeProfile, true, cut, "no attempts are left", 3},
		{"every engine crashes", fakeProfile, true, fakes.Fault{Kind: fakes.FaultCrash, Match: "hello", AfterTokens: 3}, "crashed", 3},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngines(t, 3, tt.profile)
			e.fault, e.faultyAttempts = tt.fault, 3
			r := &streamReader{ids: map[string]bool{}}
			answer := e.Run(t.Context(), streamJob(stream.KindChat, "hello [[length=12]]", tt.idempotent), r.sink())
			assert.Equal(t, answer.Failed, true)
			assert.Assert(t, strings.Contains(answer.Message, tt.want), answer.Message)
			assert.Equal(t, r.finish+r.done, 0)
			assert.Equal(t, e.runs(), tt.runs)
			assert.Assert(t, e.last.WastedTokens > 0)
		})
	}
}

// After a fault, an answer that the caller does not want as a stream is resumed, too,
// instead of being generated again from the start.
func TestPlainAnswerIsComplete(t *testing.T) {
	e := newEngines(t, 3, fakeProfile)
	e.fault, e.faultyAttempts = fakes.Fault{Kind: fakes.FaultTruncate, AfterTokens: 2, Times: 1}, 2
	j := streamJob(stream.KindChat, "hello", true)
	j.Stream, j.Body = false, []byte(strings.Replace(string(j.Body), `"stream":true`, `"stream":false`, 1))
	c := &recorder{}
	answer := e.Run(t.Context(), j, c.sink())
	assert.Equal(t, answer.Failed, false, answer.Message)
	assert.Assert(t, strings.Contains(c.text, fakes.AnswerText("hello", 0, -1)), c.text)
	assert.Equal(t, e.runs(), 3)
	generated := 0
	for _, engine := range e.list {
		generated += int(engine.Tokens())
	}
	assert.Equal(t, generated, fakes.AnswerLength("hello"))
}

// spendBudget uses up the retry budget of the VM and of the job's class for good.
func (e *engines) spendBudget(j *Job) {
	e.c.Retry.SetBudget(0, 1)
	spent := retry.Attempt{Class: j.Call.Class, Idempotent: true, Number: 1, Outcome: call.OutcomeUnknown, Cause: retry.CauseSilent}
	for range 1000 {
		e.c.Retry.Decide(time.Now(), spent)
	}
}

// With the retry budget used up, a request on a reused connection gets its complete answer
// although its sound engine sends nothing for longer than the progress timeout.
func TestSilenceWithoutBudgetEndsNoAnswer(t *testing.T) {
	e := newEngines(t, 1, fakeProfile, func(ec *fakes.EngineConfig, bc *back.Config) {
		ec.PrefillTime = 2 * progress
		bc.FirstByteTimeout = 20 * progress
	})
	warm := e.Run(t.Context(), streamJob(stream.KindChat, "warm", true), (&streamReader{ids: map[string]bool{}}).sink())
	assert.Equal(t, warm.Outcome, call.OutcomeRan, warm.Message)
	j := streamJob(stream.KindChat, strings.Repeat("x", fakes.BlockBytes), true)
	e.spendBudget(j)
	r := &streamReader{ids: map[string]bool{}}
	answer := e.Run(t.Context(), j, r.sink())
	assert.Equal(t, answer.Outcome, call.OutcomeRan, "%s: %s", answer.Reason, answer.Message)
	assert.Equal(t, r.done, 1)
}

// A sound engine that sends nothing for longer than the progress timeout, before the first
// token or in mid-stream, keeps a request that cannot go on elsewhere: the caller gets the
// complete answer of its only run.
func TestSilenceIsWaitedOut(t *testing.T) {
	tests := []struct {
		name       string
		engines    int
		idempotent bool
		setUp      func(*engines, *Job)
		midStream  bool
	}{
		{"budget", 2, true, (*engines).spendBudget, false},
		{"attempts", 2, true, func(e *engines, _ *Job) { e.c.MaxAttempts = 1 }, false},
		{"must not run again", 2, false, func(*engines, *Job) {}, false},
		{"no other engine", 1, true, func(*engines, *Job) {}, false},
		{"budget, in mid-stream", 2, true, (*engines).spendBudget, true},
		{"attempts, in mid-stream", 2, true, func(e *engines, _ *Job) { e.c.MaxAttempts = 1 }, true},
		{"must not run again, in mid-stream", 2, false, func(*engines, *Job) {}, true},
		{"cannot be resumed, in mid-stream", 2, true, func(e *engines, _ *Job) {
			e.c.Profile = func(call.Model) stream.Profile { return stream.Profile{} }
		}, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			e := newEngines(t, tt.engines, fakeProfile, func(ec *fakes.EngineConfig, _ *back.Config) {
				if !tt.midStream {
					ec.PrefillTime = 2 * progress
				}
			})
			prompt := strings.Repeat("x", fakes.BlockBytes)
			j := streamJob(stream.KindChat, prompt, tt.idempotent)
			tt.setUp(e, j)
			inject := func(f fakes.Fault) {
				for _, engine := range e.list {
					engine.Inject(f)
				}
			}
			r := &streamReader{ids: map[string]bool{}, onPart: func(n int) {
				switch {
				case !tt.midStream:
				case n == 4:
					inject(fakes.Fault{Kind: fakes.FaultSlow, Factor: int(2 * progress / time.Millisecond)})
				case n == 6:
					inject(fakes.Fault{Kind: fakes.FaultRevive})
				}
			}}
			answer := e.Run(t.Context(), j, r.sink())
			assert.Equal(t, answer.Failed, false, answer.Message)
			assert.Equal(t, r.text, fakes.AnswerText(prompt, 0, -1))
			assert.Equal(t, r.done, 1)
			assert.Equal(t, e.runs(), 1)
		})
	}
}
