package back

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
)

// A request whose connection goes silent in mid-stream ends after the progress timeout,
// and the next request uses a new connection.
func TestSilentInMidStream(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{TokenGap: 2 * time.Millisecond})
	n := 0
	res, err := b.do(t, chat("[[length=1000]]"), func(Event) error {
		if n++; n == 5 {
			b.relay.Freeze()
		}
		return nil
	})
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
	res, err = b.do(t, chat("hello"), discard)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

// Connections that went silent while idle cost one progress timeout in total: when the
// first is found silent, the other idle connections are closed too.
func TestSilentWhileIdle(t *testing.T) {
	const pooled = 4
	b := pooledClient(t, pooled, fakes.EngineConfig{TokenGap: 5 * time.Millisecond})
	b.relay.Freeze()
	res, err := b.do(t, chat("again"), discard)
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
	assert.Assert(t, res.Reused && res.BytesWritten)
	assert.Equal(t, b.logged.LastEntry().Data["event"], "silentConnection")
	for range pooled {
		res, err = b.do(t, chat("again"), discard)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.relay.Accepted(), pooled+1)
}

// The first-byte timeout, which gives an engine time to queue the request, applies to
// new connections; on a reused connection the progress timeout applies from the start.
func TestFirstByteTimeoutIsForNewConnections(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{PrefillTime: 2 * testTimeout})
	slow := chat(strings.Repeat("x", fakes.BlockBytes))
	slow.FirstByteTimeout = time.Hour
	res, err := b.do(t, slow, discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Reused, false)
	b.relay.Freeze()
	res, err = b.do(t, slow, discard)
	assert.Assert(t, res.SilentReused(), "%v", err)
}

// A request with NewConnection is not affected by pooled connections that went silent.
func TestNewConnectionIgnoresPool(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{})
	_, err := b.do(t, chat("hello"), discard)
	assert.NilError(t, err)
	b.relay.Freeze()
	r := chat("pay")
	r.NewConnection = true
	res, err := b.do(t, r, discard)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

// A caller that reads slowly does not count as a silent backend server.
func TestSlowSinkIsNotSilence(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{})
	n := 0
	res, err := b.do(t, chat("hello"), func(Event) error {
		if n++; n == 2 {
			time.Sleep(2 * testTimeout)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, res.Ending, EndingComplete)
}

// A silent attempt goes on while GiveUp returns false, and ends once it returns true.
func TestGiveUpIsAsked(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{PrefillTime: 3 * testTimeout})
	asked := atomic.Int64{}
	r := chat(strings.Repeat("x", fakes.BlockBytes))
	r.GiveUp = func() bool { asked.Add(1); return false }
	res, err := b.do(t, r, discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Ending, EndingComplete)
	assert.Assert(t, asked.Load() > 1, "asked %d times", asked.Load())
	asked.Store(2)
	r = chat(strings.Repeat("y", fakes.BlockBytes))
	r.GiveUp = func() bool { return asked.Add(-1) <= 0 }
	res, err = b.do(t, r, discard)
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
}

// No event is passed to the sink once GiveUp has returned true: what it had to allow may no
// longer be allowed after a further event.
func TestNoEventAfterGivingUp(t *testing.T) {
	next := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		control := http.NewResponseController(w)
		_, _ = io.WriteString(w, "data: x\n\n")
		_ = control.Flush()
		<-next
		_, _ = io.WriteString(w, "data: y\n\n")
		_ = control.Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client, err := New(Config{FirstByteTimeout: testTimeout, ProgressTimeout: testTimeout})
	assert.NilError(t, err)
	defer client.Close()
	r := chat("hello")
	r.GiveUp = func() bool {
		close(next)
		time.Sleep(testTimeout) // until the event has been read
		return true
	}
	var events []string
	res, err := client.Do(t.Context(), Target{ID: "r", Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}, r, func(e Event) error {
		events = append(events, string(e.Data))
		return nil
	})
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
	assert.DeepEqual(t, events, []string{"x"})
}

// A stream whose last event has arrived is complete although its body does not end, and
// GiveUp is not asked about that.
func TestCompleteStreamIsNotSilent(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream")
		_, _ = io.WriteString(w, "data: x\n\ndata: [DONE]\n\n")
		_ = http.NewResponseController(w).Flush()
		<-r.Context().Done()
	}))
	defer server.Close()
	client, err := New(Config{FirstByteTimeout: testTimeout, ProgressTimeout: testTimeout})
	assert.NilError(t, err)
	defer client.Close()
	r := chat("hello")
	r.GiveUp = func() bool { return false }
	ctx, cancel := context.WithTimeout(t.Context(), 20*testTimeout)
	defer cancel()
	res, err := client.Do(ctx, Target{ID: "r", Address: server.Listener.Addr().(*net.TCPAddr).AddrPort()}, r, discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Ending, EndingComplete)
	assert.Assert(t, res.Total < 10*testTimeout, "took %s", res.Total)
}

// A run on a reused connection goes on when another connection to the same backend server
// goes silent, also if the connection's former attempt ends only after it was reused.
func TestSilenceLeavesReusedConnections(t *testing.T) {
	release := make(chan struct{})
	b := newTestClient(t, nil, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/slow" {
			<-release
		}
		_, _ = io.WriteString(w, "done")
	}))
	open := func(path string) (*Exchange, Result) {
		x, res, err := b.client.Open(t.Context(), b.target, Request{Method: http.MethodPost, Path: path, Body: []byte("x"), FirstByteTimeout: time.Hour, ProgressTimeout: time.Hour})
		assert.Check(t, err)
		return x, res
	}
	former, _ := open("/quick")
	_, err := io.ReadAll(former)
	assert.NilError(t, err)
	type outcome struct {
		x   *Exchange
		res Result
	}
	reused := make(chan outcome)
	go func() {
		x, res := open("/slow")
		reused <- outcome{x, res}
	}()
	for b.client.conns.usedAgain() == 0 {
		time.Sleep(time.Millisecond)
	}
	former.End(nil)
	b.client.conns.closeIdle(b.target)
	close(release)
	got := <-reused
	assert.Assert(t, got.x != nil, "ending %q, bytes written: %t", got.res.Ending, got.res.BytesWritten)
	assert.Assert(t, got.x.End(nil).Reused)
}

// usedAgain returns the number of connections on which a second request was written.
func (s *connTracker) usedAgain() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for _, open := range s.open {
		for c := range open {
			if c.writeCount() > 1 {
				n++
			}
		}
	}
	return n
}
