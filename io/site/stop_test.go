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

// longAnswer is a streaming request whose answer has 400 tokens.
const longAnswer = `{"model":"drafts","stream":true,"max_tokens":400,"messages":[{"role":"user","content":"[[length=400]] long"}]}`

// slowEngine makes an answer of 400 tokens take two seconds.
func slowEngine(c *fakes.EngineConfig) { c.TokenGap = 5 * time.Millisecond }

// startLongAnswer requests a long answer and waits for its first line.
func startLongAnswer(t *testing.T, s *Site, vm int) (*http.Response, *bufio.Reader) {
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

// A planned stop completes the stream in progress although that takes far longer than the
// notice. New requests are refused as not run in the meantime, and the VM then ends by itself.
func TestPlannedStop(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 1, Engine: slowEngine, Notice: 100 * time.Millisecond})
	_, lines := startLongAnswer(t, s, 0)
	done := s.Stop(0)
	s.waitStatus(t, 0, func(st node.Status) bool { return st.Stop.Phase == drain.PhaseFinish && !st.Ready })

	resp := s.Post(t, 0, "/v1/chat/completions", chatBody("late", false), nil)
	got := readBody(t, resp)
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

// A forced stop aborts the stream immediately, and the caller can tell that the answer is
// incomplete.
func TestForcedStop(t *testing.T) {
	s := New(t, Config{Entries: 1, Engines: 1, Engine: slowEngine, Notice: 100 * time.Millisecond})
	_, lines := startLongAnswer(t, s, 0)
	done := s.Stop(0)
	s.Entries[0].Node.Stop()
	rest, err := io.ReadAll(lines)
	assert.NilError(t, err)
	assert.Assert(t, !strings.Contains(string(rest), "[DONE]"), "looks complete: %s", rest)
	assert.Assert(t, strings.Contains(string(rest), `"code":"stopping"`), "no error event: %s", rest)
	assert.NilError(t, <-done)
	s.Entries[0].cancel = nil
	cut := 0
	for _, e := range s.Entries[0].Log.AllEntries() {
		if e.Data["event"] == "forced" {
			cut = e.Data["cut"].(int)
		}
	}
	assert.Equal(t, cut, 1, "number of aborted requests in the log")
}

// A payment whose caller disconnects is completed and recorded even while the VM stops. A
// repeat on another VM gets its response.
func TestStopCompletesPaymentOfDisconnectedCaller(t *testing.T) {
	s := New(t, Config{
		Entries: 2, Services: 1, Notice: 50 * time.Millisecond,
		Ledger: func(c *fakes.LedgerConfig) { c.RunTime = 500 * time.Millisecond },
	})
	ctx, cancel := context.WithCancel(t.Context())
	sendErr := make(chan error, 1)
	go func() {
		_, err := s.Send(ctx, 0, http.MethodPost, "/ledger/payments", `{"amount":1}`, map[string]string{front.HeaderIdempotencyKey: "k1"})
		sendErr <- err
	}()
	s.waitStatus(t, 0, func(st node.Status) bool { return st.Stop.InFlight == 1 })
	time.Sleep(100 * time.Millisecond)
	done := s.Stop(0)
	cancel()
	assert.ErrorContains(t, <-sendErr, "canceled")
	assert.NilError(t, <-done)
	s.Entries[0].cancel = nil
	resp, got := s.pay(t, 1, "k1", `{"amount":1}`)
	assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "ran", got)
	assert.Equal(t, resp.StatusCode, http.StatusCreated, got)
	assert.Equal(t, s.bookings(t, "k1"), 1)
}
