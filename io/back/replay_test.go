package back

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
	"gentianwell/io/strict"
)

// closingServer responds to the first request on each connection and closes the
// connection after reading the second, without a response. net/http replays the second
// request in this case.
type closingServer struct {
	listener net.Listener
	done     sync.WaitGroup
	mu       sync.Mutex
	bodies   []string
}

func newClosingServer(t *testing.T) *closingServer {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	f := &closingServer{listener: l}
	f.done.Go(f.accept)
	t.Cleanup(func() {
		_ = l.Close()
		f.done.Wait()
	})
	return f
}

func (f *closingServer) accept() {
	for {
		c, err := f.listener.Accept()
		if err != nil {
			return
		}
		f.done.Go(func() { f.serve(c) })
	}
}

func (f *closingServer) serve(c net.Conn) {
	defer func() { _ = c.Close() }()
	r := bufio.NewReader(c)
	for i := range 2 {
		req, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		body, err := io.ReadAll(req.Body)
		if err != nil {
			return
		}
		f.record(string(body))
		if i == 0 {
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok")
		}
	}
}

func (f *closingServer) record(body string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.bodies = append(f.bodies, body)
}

func (f *closingServer) count(body string) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, b := range f.bodies {
		if b == body {
			n++
		}
	}
	return n
}

func (f *closingServer) target() Target {
	return Target{ID: "flaky", Address: f.listener.Addr().(*net.TCPAddr).AddrPort()}
}

// net/http on its own replays a POST with an idempotency key: this shows that
// closingServer triggers the replay that Do must prevent.
func TestNetHTTPReplaysRequest(t *testing.T) {
	f := newClosingServer(t)
	transport := &http.Transport{}
	defer transport.CloseIdleConnections()
	for _, body := range []string{"warm", "pay"} {
		url := "http://" + f.target().Address.String()
		req, err := http.NewRequest(http.MethodPost, url, bytes.NewReader([]byte(body)))
		assert.NilError(t, err)
		req.Header.Set("Idempotency-Key", "k")
		res, err := transport.RoundTrip(req)
		assert.NilError(t, err)
		_, err = io.Copy(io.Discard, res.Body)
		assert.NilError(t, err)
		assert.NilError(t, res.Body.Close())
	}
	assert.Equal(t, f.count("pay"), 2)
}

func TestDoSendsOnce(t *testing.T) {
	tests := []struct {
		name, method, body string
	}{
		{"POST with a body", http.MethodPost, "pay"},
		{"POST without a body", http.MethodPost, ""},
		{"DELETE without a body", http.MethodDelete, ""},
		{"GET", http.MethodGet, ""},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newClosingServer(t)
			b := newEngineClient(t, fakes.EngineConfig{})
			b.target = f.target()
			warm := Request{Method: http.MethodPost, Path: "/", Body: []byte("warm")}
			_, err := b.do(t, warm, discard)
			assert.NilError(t, err)
			header := http.Header{"Idempotency-Key": {"k"}}
			res, err := b.do(t, Request{Method: tt.method, Path: "/", Header: header, Body: []byte(tt.body)}, discard)
			assert.Equal(t, f.count(tt.body), 1)
			assert.Assert(t, res.BytesWritten)
			assert.Equal(t, err != nil, res.Reused)
			if res.Reused {
				assert.Equal(t, res.Ending, EndingCrashed)
			}
		})
	}
}

// A request abandoned after it got its connection but before its first byte is
// reported as not written, and no byte is written later.
func TestBytesWrittenIsFinal(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: strict.New(near), dialed: time.Now(), onClose: func(*conn) {}}
	a := &attempt{client: &Client{conns: newConnTracker(Config{DialTimeout: time.Second}.Defaults())}, watchdog: newWatchdog(time.Hour, nil, func(error) {}), callerCtx: context.Background()}
	a.gotConn(httptrace.GotConnInfo{Conn: c})
	res := a.fail(context.Canceled)
	assert.Assert(t, !res.BytesWritten)
	_, err := c.Write([]byte("late"))
	assert.ErrorIs(t, err, errSealed)
}

// A write in progress when the request is abandoned counts as written.
func TestBytesWrittenCountsWriteInProgress(t *testing.T) {
	near, far := net.Pipe()
	defer func() { _ = far.Close() }()
	c := &conn{Conn: strict.New(near), dialed: time.Now(), onClose: func(*conn) {}, address: netip.AddrPort{}}
	started := make(chan struct{})
	ended := make(chan struct{})
	go func() {
		defer close(ended)
		close(started)
		_, _ = c.Write([]byte("body"))
	}()
	<-started
	for range 1000 {
		if c.writeCount() > 0 {
			break
		}
		time.Sleep(time.Millisecond)
	}
	assert.Assert(t, !c.sealUnwritten(0))
	assert.NilError(t, c.Close())
	<-ended
	assert.Assert(t, c.sealUnwritten(0))
}
