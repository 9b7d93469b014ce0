package proxy

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/table"
)

// deadlineListener records the read timeouts that are set on its connections.
type deadlineListener struct {
	net.Listener
	mu       sync.Mutex
	timeouts []time.Duration
}

type deadlineConn struct {
	net.Conn
	l *deadlineListener
}

func (l *deadlineListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	return deadlineConn{c, l}, err
}

func (c deadlineConn) SetReadDeadline(at time.Time) error {
	if left := time.Until(at); left > 0 {
		c.l.mu.Lock()
		c.l.timeouts = append(c.l.timeouts, left)
		c.l.mu.Unlock()
	}
	return c.Conn.SetReadDeadline(at)
}

// wait waits until n timeouts were set and returns them.
func (l *deadlineListener) wait(t *testing.T, n int) []time.Duration {
	t.Helper()
	for end := time.Now().Add(2 * time.Second); time.Now().Before(end); time.Sleep(time.Millisecond) {
		l.mu.Lock()
		got := slices.Clone(l.timeouts)
		l.mu.Unlock()
		if len(got) >= n {
			return got
		}
	}
	t.Fatalf("fewer than %d timeouts were set", n)
	return nil
}

// The operator's limits for connections are in force where they allow more than a minute
// of idleness and ten seconds for a header.
func TestTimeoutsOfConnections(t *testing.T) {
	for name, test := range map[string]struct{ header, idle, wantHeader, wantIdle time.Duration }{
		"more": {header: 20 * time.Second, idle: 3 * time.Minute, wantHeader: 20 * time.Second, wantIdle: 3 * time.Minute},
		"less": {header: time.Second, idle: time.Second, wantHeader: 10 * time.Second, wantIdle: time.Minute},
		"none": {wantHeader: 10 * time.Second, wantIdle: time.Minute},
	} {
		t.Run(name, func(t *testing.T) {
			inForce, err := table.New(table.Document{HeaderTimeout: test.header, IdleTimeout: test.idle})
			assert.NilError(t, err)
			s := testServer(t, func(c *Config) { c.Table = func() *table.Table { return inForce } })
			raw, err := net.Listen("tcp", "127.0.0.1:0")
			assert.NilError(t, err)
			l := &deadlineListener{Listener: raw}
			server := s.HTTP()
			go func() { _ = server.Serve(s.WrapListener(l)) }()
			t.Cleanup(func() { _ = server.Close() })
			c, err := net.Dial("tcp", raw.Addr().String())
			assert.NilError(t, err)
			t.Cleanup(func() { assert.Check(t, c.Close()) })
			reader := bufio.NewReader(c)
			for round, want := range [][]time.Duration{{test.wantHeader, test.wantIdle}, {test.wantHeader, test.wantIdle}} {
				_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: ")
				assert.NilError(t, err)
				l.wait(t, 2*round+1)
				_, err = io.WriteString(c, "a.example\r\n\r\n")
				assert.NilError(t, err)
				res, err := http.ReadResponse(reader, nil)
				assert.NilError(t, err)
				_, err = io.Copy(io.Discard, res.Body)
				assert.NilError(t, err)
				for i, got := range l.wait(t, 2*round+2)[2*round:] {
					assert.Equal(t, got.Round(time.Second), want[i])
				}
			}
		})
	}
}
