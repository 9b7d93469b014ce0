package back

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
	"gentianwell/io/relay"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// testTimeout is the progress timeout of the tests. Their engines respond immediately
// unless a test delays them.
const testTimeout = time.Second

// testClient is a client connected to one engine through a relay.
type testClient struct {
	engine *fakes.Engine
	relay  *relay.Relay
	client *Client
	target Target
	logged *logtest.Hook
}

func newEngineClient(t *testing.T, c fakes.EngineConfig) *testClient {
	t.Helper()
	c.ID = "engine-1"
	c.Models = []string{"drafts"}
	e, err := fakes.NewEngine(c)
	assert.NilError(t, err)
	return newTestClient(t, e, e.Handler())
}

func newTestClient(t *testing.T, e *fakes.Engine, h http.Handler) *testClient {
	t.Helper()
	srv := httptest.NewServer(h)
	t.Cleanup(srv.Close)
	r, err := relay.New(relay.Config{Target: srv.Listener.Addr().(*net.TCPAddr).AddrPort()})
	assert.NilError(t, err)
	t.Cleanup(r.Close)
	log, logged := logtest.NewNullLogger()
	client, err := New(Config{
		ProgressTimeout: testTimeout, FirstByteTimeout: testTimeout, MaxBody: 1 << 16, MaxEvent: 1 << 12, Log: log,
	})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	return &testClient{engine: e, relay: r, client: client, target: Target{ID: "engine-1", Address: r.Address()}, logged: logged}
}

func chat(prompt string) Request {
	body := fmt.Sprintf(`{"model":"drafts","stream":true,"messages":[{"role":"user","content":%q}]}`, prompt)
	return Request{Method: "POST", Path: "/v1/chat/completions", Body: []byte(body)}
}

func discard(Event) error { return nil }

func (b *testClient) do(t *testing.T, r Request, sink func(Event) error) (Result, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 20*testTimeout)
	defer cancel()
	return b.client.Do(ctx, b.target, r, sink)
}

func TestDoEndings(t *testing.T) {
	tests := []struct {
		name  string
		fault fakes.Fault
		want  Ending
		ran   bool
	}{
		{"complete", fakes.Fault{}, EndingComplete, true},
		{"refused", fakes.Fault{Kind: fakes.FaultRefuse}, EndingRefused, false},
		{"crash before the first event", fakes.Fault{Kind: fakes.FaultCrash, Match: "hello"}, EndingCrashed, true},
		{"connection closed in mid-stream", fakes.Fault{Kind: fakes.FaultCut, AfterTokens: 3}, EndingCrashed, true},
		{"hang", fakes.Fault{Kind: fakes.FaultHang}, EndingSilent, true},
		{"freeze in mid-stream", fakes.Fault{Kind: fakes.FaultFreeze, AfterTokens: 3}, EndingSilent, true},
		{"clean end without [DONE]", fakes.Fault{Kind: fakes.FaultTruncate, AfterTokens: 3}, EndingTruncated, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			b := newEngineClient(t, fakes.EngineConfig{})
			if tt.fault.Kind != "" {
				b.engine.Inject(tt.fault)
			}
			res, err := b.do(t, chat("hello"), discard)
			assert.Equal(t, res.Ending, tt.want, "%v", err)
			assert.Equal(t, err == nil, tt.want == EndingComplete || tt.want == EndingRefused)
			assert.Equal(t, res.NotRun(), !tt.ran)
			assert.Equal(t, len(b.engine.Runs().Bodies) == 1, tt.ran)
			// A connection with an incomplete response is not reused.
			b.engine.Inject(fakes.Fault{Kind: fakes.FaultRevive})
			next, err := b.do(t, chat("next"), discard)
			assert.NilError(t, err)
			assert.Equal(t, next.Reused, res.Ending == EndingComplete || res.Ending == EndingRefused)
		})
	}
}

func TestDoPassesEventsUnchanged(t *testing.T) {
	stream := ": note\n\ndata: {\"a\": 1}\r\n\r\nevent: x\ndata: 1\ndata: 2\n\ndata: [DONE]\n\n"
	b := newTestClient(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/event-stream; charset=utf-8")
		_, _ = io.WriteString(w, stream)
	}))
	var raw, data []string
	res, err := b.do(t, chat("hello"), func(e Event) error {
		raw = append(raw, string(e.Raw))
		data = append(data, string(e.Data))
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, strings.Join(raw, ""), stream)
	assert.DeepEqual(t, data, []string{"", `{"a": 1}`, "1\n2", "[DONE]"})
	assert.Equal(t, res.Events, 4)
}

func TestDoLimits(t *testing.T) {
	big := strings.Repeat("x", 1<<17)
	tests := []struct {
		name string
		h    http.HandlerFunc
		want Ending
	}{
		{"event", func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set("Content-Type", "text/event-stream")
			_, _ = io.WriteString(w, "data: "+big)
		}, EndingMalformed},
		{"body", func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, big) }, EndingMalformed},
		{"header", func(w http.ResponseWriter, _ *http.Request) { w.Header().Set("X", big) }, EndingMalformed},
		{"body without length", func(w http.ResponseWriter, _ *http.Request) {
			c, rw, err := http.NewResponseController(w).Hijack()
			if err != nil {
				return
			}
			_, _ = rw.WriteString("HTTP/1.1 200 OK\r\nConnection: close\r\n\r\nhalf")
			_ = rw.Flush()
			_ = c.Close()
		}, EndingTruncated},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			res, err := newTestClient(t, nil, tt.h).do(t, chat("hello"), discard)
			assert.Equal(t, res.Ending, tt.want, "%v", err)
			assert.Assert(t, len(res.Body) <= 1<<16)
		})
	}
}

func TestDoUnreachableWroteNothing(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	assert.NilError(t, l.Close())
	b := newEngineClient(t, fakes.EngineConfig{})
	b.target.Address = l.Addr().(*net.TCPAddr).AddrPort()
	res, err := b.do(t, chat("hello"), discard)
	assert.Assert(t, err != nil)
	assert.Equal(t, res.Ending, EndingUnreachable)
	assert.Assert(t, res.NotRun())
}

func TestDoStopsOnSinkErrorAndCancel(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{TokenGap: time.Millisecond})
	// The default timeouts, because this test is not about silence and a busy machine
	// may be slower than testTimeout.
	var err error
	b.client, err = New(Config{})
	assert.NilError(t, err)
	t.Cleanup(b.client.Close)
	res, err := b.do(t, chat("hello"), func(Event) error { return errors.New("caller is gone") })
	assert.ErrorContains(t, err, "caller is gone")
	assert.Equal(t, res.Ending, EndingSink)
	ctx, cancel := context.WithCancel(t.Context())
	res, err = b.client.Do(ctx, b.target, chat("[[length=5000]]"), func(Event) error { cancel(); return nil })
	assert.ErrorContains(t, err, "context canceled")
	assert.Equal(t, res.Ending, EndingCancelled)
	assert.Assert(t, b.engine.Tokens() < 1000)
}

func TestFetchLoad(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{Slots: 5})
	load, err := b.client.FetchLoad(t.Context(), b.target)
	assert.NilError(t, err)
	assert.DeepEqual(t, load, Load{Slots: 5})
	other := newTestClient(t, nil, http.NotFoundHandler())
	_, err = other.client.FetchLoad(t.Context(), other.target)
	assert.ErrorContains(t, err, "status 404")
}

func TestConfigValidate(t *testing.T) {
	_, err := New(Config{DialTimeout: -1})
	assert.ErrorContains(t, err, "negative timeout")
	_, err = New(Config{MaxBody: -1})
	assert.ErrorContains(t, err, "negative limit")
}

// Guards against a process that runs out of memory because backend servers send bodies without
// end: all attempts together keep to Config.MaxBodies, and later ones are not affected.
func TestEndlessBodiesShareMemory(t *testing.T) {
	const bodyBytes, fit, attempts = 100 << 10, 3, 12
	var endless atomic.Bool
	endless.Store(true)
	srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.WriteString(w, strings.Repeat("x", bodyBytes))
		if endless.Load() {
			w.(http.Flusher).Flush()
			<-r.Context().Done()
		}
	}))
	t.Cleanup(srv.Close)
	log, _ := logtest.NewNullLogger()
	client, err := New(Config{ProgressTimeout: testTimeout, FirstByteTimeout: testTimeout, MaxBody: 1 << 20, MaxBodies: fit*bodyBytes + bodyBytes/2, Log: log})
	assert.NilError(t, err)
	t.Cleanup(client.Close)
	target := Target{ID: "engine-1", Address: srv.Listener.Addr().(*net.TCPAddr).AddrPort()}
	do := func() error {
		_, err := client.Do(t.Context(), target, Request{Path: "/a"}, nil)
		return err
	}
	errs := make(chan error, attempts)
	for range attempts {
		go func() { errs <- do() }()
	}
	full := 0
	for range attempts {
		if err := <-errs; errors.Is(err, errMemoryFull) {
			full++
		}
	}
	assert.Assert(t, full >= attempts-fit, "%d attempts did not fit", full)
	endless.Store(false)
	assert.NilError(t, do())
	assert.Equal(t, client.bodies.held.Load(), int64(0))
}

// Bytes after a response belong to no request: the connection is not used again, and the next
// request does not fail, also if net/http has handed the connection to it already.
func TestBytesAfterResponse(t *testing.T) {
	b := newTestClient(t, nil, http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		conn, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer conn.Close()
		_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nno")
		_, _ = io.Copy(io.Discard, conn)
	}))
	for range 2000 {
		res, err := b.do(t, Request{Method: http.MethodPost, Path: "/", Body: []byte("x")}, nil)
		assert.NilError(t, err)
		assert.Equal(t, string(res.Body), "ok")
	}
}
