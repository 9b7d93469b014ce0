package admit

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/guard"
)

// serve starts a server behind a listener. Requests to /wait wait until release is closed; the answer
// to /held names the bytes that heads hold while it runs.
func serve(t *testing.T, c guard.Config) (l *Listener, release chan struct{}) {
	t.Helper()
	tcp, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	log, _ := logtest.NewNullLogger()
	l = New(Config{Listener: tcp, Name: "test", Guard: c, HTTP: true, Log: log})
	release = make(chan struct{})
	srv := &http.Server{ReadHeaderTimeout: time.Minute, Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		BodyRead(r)
		switch r.URL.Path {
		case "/wait":
			<-release
		case "/held":
			w.Header().Set("Held", strconv.FormatInt(l.Stats().HeadBytes, 10))
		}
	})}
	Bind(srv)
	go func() { _ = srv.Serve(l) }()
	t.Cleanup(func() { _ = srv.Close() })
	return l, release
}

func connect(t *testing.T, l *Listener, send string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	_, err = io.WriteString(conn, send)
	assert.NilError(t, err)
	return conn
}

// answer returns the next response; nil if the connection was closed.
func answer(t *testing.T, conn net.Conn, r *bufio.Reader) *http.Response {
	t.Helper()
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(10*time.Second)))
	res, err := http.ReadResponse(r, nil)
	if err != nil {
		return nil
	}
	_, _ = io.Copy(io.Discard, res.Body)
	return res
}

// status returns the status of the response; zero if the connection was closed.
func status(t *testing.T, conn net.Conn) int {
	t.Helper()
	if res := answer(t, conn, bufio.NewReader(conn)); res != nil {
		return res.StatusCode
	}
	return 0
}

func waitConns(t *testing.T, l *Listener, state guard.State, n int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if got := l.count(state); got != n {
			return poll.Continue("%d connections in state %s", got, state)
		}
		return poll.Success()
	})
}

func (l *Listener) count(state guard.State) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.guard.Count(state)
}

// Guards against connections that do nothing and keep an ordinary caller out, and against a
// running request whose connection is closed.
func TestIdleConnectionGivesWay(t *testing.T) {
	const get = "GET / HTTP/1.1\r\nHost: a\r\n\r\n"
	l, release := serve(t, guard.Config{MaxConns: 3, MaxBytes: 1 << 20})
	running := connect(t, l, "POST /wait HTTP/1.1\r\nHost: a\r\nContent-Length: 1\r\n\r\nx")
	waitConns(t, l, guard.StateRun, 1)
	idle := connect(t, l, get)
	assert.Equal(t, status(t, idle), http.StatusOK)
	waitConns(t, l, guard.StateIdle, 1)
	unfinished := connect(t, l, "GET / HTTP/1.1\r\n")
	waitConns(t, l, guard.StateHead, 1)
	next := connect(t, l, get)
	assert.Equal(t, status(t, next), http.StatusOK)
	assert.Equal(t, status(t, unfinished), 0)
	_, err := io.WriteString(idle, get)
	assert.NilError(t, err)
	assert.Equal(t, status(t, idle), http.StatusOK)
	close(release)
	assert.Equal(t, status(t, running), http.StatusOK)
	assert.Equal(t, l.Stats().Closed, 1)
}

// The head of a request that was sent together with the one before it counts, too; net/http may read
// its next byte while that one runs.
func TestPipelinedHeadCounts(t *testing.T) {
	fields := strings.Repeat("X: y\r\n", 100)
	for name, first := range map[string]string{"rest after the answer": "/", "rest while the first runs": "/wait"} {
		t.Run(name, func(t *testing.T) {
			l, release := serve(t, guard.Config{MaxConns: 10, MaxBytes: 1 << 20})
			conn := connect(t, l, "GET "+first+" HTTP/1.1\r\nHost: a\r\n\r\nGET /held HTTP/1.1\r\nHost: a\r\n"+fields+"X: z\r\n\r")
			answers := bufio.NewReader(conn)
			rest := func() {
				_, err := io.WriteString(conn, "\n")
				assert.NilError(t, err)
			}
			if first == "/wait" {
				waitConns(t, l, guard.StateRun, 1)
				rest()
				time.Sleep(20 * time.Millisecond) // until the byte is read
				close(release)
			}
			res := answer(t, conn, answers)
			assert.Assert(t, res != nil && res.StatusCode == http.StatusOK)
			if first != "/wait" {
				waitConns(t, l, guard.StateIdle, 1)
				rest()
			}
			res = answer(t, conn, answers)
			assert.Assert(t, res != nil && res.StatusCode == http.StatusOK)
			held, err := strconv.ParseInt(res.Header.Get("Held"), 10, 64)
			assert.NilError(t, err)
			assert.Assert(t, held >= guard.HeadCost([]byte(fields)), "%d", held)
			waitConns(t, l, guard.StateIdle, 1)
			assert.Equal(t, l.Stats().HeadBytes, int64(0))
		})
	}
}

// While all connections run requests, the next one waits and is then served.
func TestNextConnectionWaits(t *testing.T) {
	l, release := serve(t, guard.Config{MaxConns: 1, MaxBytes: 1 << 20})
	running := connect(t, l, "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n")
	waitConns(t, l, guard.StateRun, 1)
	next := connect(t, l, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
	close(release)
	assert.Equal(t, status(t, running), http.StatusOK)
	assert.Equal(t, status(t, next), http.StatusOK)
}

// A head that does not fit beside those of running requests gets 503, which promises that it
// has not run; a single one may be larger than the sum for all.
func TestHeadsAreLimitedInSum(t *testing.T) {
	head := func(path string) string {
		return fmt.Sprintf("GET %s HTTP/1.1\r\nHost: a\r\n%s\r\n", path, strings.Repeat("X: y\r\n", 100))
	}
	l, release := serve(t, guard.Config{MaxConns: 10, MaxBytes: guard.HeadCost([]byte(head("/wait"))) - 1})
	running := connect(t, l, head("/wait"))
	waitConns(t, l, guard.StateRun, 1)
	assert.Equal(t, status(t, connect(t, l, head("/"))), http.StatusServiceUnavailable)
	assert.Equal(t, l.Stats().Refused, 1)
	close(release)
	assert.Equal(t, status(t, running), http.StatusOK)
	waitConns(t, l, guard.StateIdle, 1)
	assert.Equal(t, status(t, connect(t, l, head("/"))), http.StatusOK)
}
