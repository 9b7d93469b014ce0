package front

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/runner"
)

// slowTimeout is the write timeout of these tests.
const slowTimeout = 200 * time.Millisecond

// endlessRun writes until the sink returns an error, and then sends the number of
// bytes written to the channel.
func endlessRun(written chan<- int, pause time.Duration) func(*runner.Job, runner.Sink) runner.Answer {
	part := []byte("data: " + strings.Repeat("x", 16<<10) + "\n\n")
	return func(_ *runner.Job, sink runner.Sink) runner.Answer {
		n := 0
		err := sink.Start(http.StatusOK, http.Header{"Content-Type": {"text/event-stream"}})
		for ; err == nil; err = sink.Write(part) {
			n += len(part)
			time.Sleep(pause)
		}
		written <- n
		return runner.Answer{Started: true, Failed: true, Outcome: call.OutcomeUnknown, Reason: runner.ReasonCallerGone}
	}
}

// sendRequest sends a request for a stream on a new connection.
func sendRequest(t *testing.T, address string) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	body := strings.Replace(goodBody, "{", `{"stream":true,`, 1)
	req, err := http.NewRequest(http.MethodPost, "http://x/v1/chat/completions", strings.NewReader(body))
	assert.NilError(t, err)
	req.Header.Set("Authorization", "Bearer k")
	assert.NilError(t, req.Write(c))
	return c
}

// The request of a caller that stops reading ends after the write timeout, and the
// amount of data buffered for it is limited.
func TestCallerThatDoesNotRead(t *testing.T) {
	written := make(chan int, 1)
	srv := serve(t, endlessRun(written, 0), func(c *Config) { c.WriteTimeout = slowTimeout })
	sendRequest(t, srv.Listener.Addr().String())
	select {
	case n := <-written:
		// Only the socket buffers of both ends hold data.
		assert.Assert(t, n < 64<<20, "%d bytes", n)
	case <-time.After(20 * slowTimeout):
		t.Fatal("the request has not ended")
	}
}

// The answer to a caller that reads slowly but steadily may take longer than the write
// timeout.
func TestCallerThatReadsSlowly(t *testing.T) {
	written := make(chan int, 1)
	srv := serve(t, endlessRun(written, 10*time.Millisecond), func(c *Config) { c.WriteTimeout = slowTimeout })
	c := sendRequest(t, srv.Listener.Addr().String())
	until := time.Now().Add(3 * slowTimeout)
	for time.Now().Before(until) {
		_, err := io.CopyN(io.Discard, c, 4<<10)
		assert.NilError(t, err)
	}
	select {
	case <-written:
		t.Fatal("the answer was aborted")
	default:
	}
	assert.NilError(t, c.Close())
	<-written
}
