package site

import (
	"bufio"
	"context"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/drain"
	"gentianwell/io/fakes"
	"gentianwell/io/front"
	"gentianwell/io/node"
)

// longAnswer is a streamed completion that takes a few seconds.
const longAnswer = `{"model":"drafts","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"[[length=400]] long"}]}`

// slowEngine makes an answer of 400 tokens last two seconds.
func slowEngine(c *fakes.EngineConfig) { c.TokenGap = 5 * time.Millisecond }

// begin sends a request for a long answer and waits for its first line.
func begin(t *testing.T, s *Site, vm int) (*http.Response, *bufio.Reader) {
	t.Helper()
	resp := s.Post(t, vm, "/v1/chat/completions", longAnswer, nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK)
	lines := bufio.NewReader(resp.Body)
	_, err := lines.ReadString('\n')
	assert.NilError(t, err)
	return resp, lines
}

func (s *Site) waitStatus(t *testing.T, vm int, ok func(node.Status) bool) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if st := s.Entries[vm].Node.Status(); !ok(st) {
			return poll.Continue("%+v", st)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(5*time.Millisecond))
}

// A planned stop finishes the stream in progress although it takes far longer
// than the notice; meanwhile new requests are refused as not run, and the VM ends
// by itself.
func TestPlannedStopCutsNothing(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 1, Engine: slowEngine, Notice: 100 * time.Millisecond})
	_, lines := begin(t, s, 0)
	done := s.Stop(0)
	s.waitStatus(t, 0, func(st node.Status) bool { return st.Stop.Phase == drain.PhaseFinish && !st.Ready })

	resp := s.Post(t, 0, "/v1/chat/completions", body("late", false), nil)
	got := read(t, resp)
	assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, got)
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "notRun")
	assert.Assert(t, resp.Header.Get("Retry-After") != "" && resp.Close)

	rest, err := io.ReadAll(lines)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasSuffix(string(rest), "data: [DONE]\n\n"), "cut: %s", rest)
	assert.NilError(t, <-done)
	assert.Equal(t, s.Entries[0].Node.Status().Stop.Ending, drain.EndingDone)
	s.Entries[0].cancel = nil
}

// A forced stop cuts at once, and the caller cannot take what it has for whole.
func TestForcedStopIsSeen(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 1, Engine: slowEngine, Notice: 100 * time.Millisecond})
	_, lines := begin(t, s, 0)
	done := s.Stop(0)
	s.Entries[0].Node.Stop()
	rest, err := io.ReadAll(lines)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(rest), "[DONE]"), "looks whole: %s", rest)
	assert.Assert(t, strings.Contains(string(rest), `"code":"stopping"`), "not told: %s", rest)
	assert.NilError(t, <-done)
	s.Entries[0].cancel = nil
	cut := 0
	for _, e := range s.Entries[0].Log.AllEntries() {
		if e.Data["event"] == "forced" {
			cut = e.Data["cut"].(int)
		}
	}
	assert.Equal(t, cut, 1, "the log does not tell what was cut")
}

// A payment whose caller goes away is finished and recorded, also while the VM
// stops; its repeat elsewhere gets the answer.
func TestStopFinishesPaymentOfGoneCaller(t *testing.T) {
	s := New(t, Config{
		Entries: 2, Services: 1, Notice: 50 * time.Millisecond,
		Ledger: func(c *fakes.LedgerConfig) { c.RunTime = 500 * time.Millisecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := s.Send(ctx, 0, http.MethodPost, "/ledger/payments", `{"amount":1}`, map[string]string{front.HeaderIdempotencyKey: "k1"})
		gone <- err
	}()
	s.waitStatus(t, 0, func(st node.Status) bool { return st.Stop.InFlight == 1 })
	time.Sleep(100 * time.Millisecond)
	done := s.Stop(0)
	cancel()
	assert.ErrorContains(t, <-gone, "canceled")
	assert.NilError(t, <-done)
	s.Entries[0].cancel = nil
	resp, got := s.pay(t, 1, "k1", `{"amount":1}`)
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "ran", got)
	assert.Equal(t, resp.StatusCode, http.StatusCreated, got)
	assert.Equal(t, s.bookings(t, "k1"), 1)
}
