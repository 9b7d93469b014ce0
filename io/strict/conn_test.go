package strict

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"go.uber.org/goleak"
	"gotest.tools/v3/assert"

	"gentianwell/core/frame"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against an end of file in place of a reset: Linux reports the reset to a write or to a
// read, not to both. An end of file in order stays one, also if net/http closes the connection
// meanwhile because a write has failed.
func TestEndOfFile(t *testing.T) {
	reset := func(c *net.TCPConn) error {
		assert.Check(t, c.SetLinger(0))
		return c.Close()
	}
	endThenReset := func(c *net.TCPConn) error {
		assert.Check(t, c.CloseWrite())
		return reset(c)
	}
	for name, test := range map[string]struct {
		// end ends the server's side of the connection.
		end func(*net.TCPConn) error
		// writes makes the client write until a write fails before it reads, closes makes it close
		// the connection as it reads the end of file.
		writes, closes bool
		want           error
	}{
		"in order":                             {end: (*net.TCPConn).CloseWrite, want: io.EOF},
		"in order, closed":                     {end: (*net.TCPConn).CloseWrite, closes: true, want: io.EOF},
		"reset":                                {end: reset, want: syscall.ECONNRESET},
		"reset, a write fails":                 {end: reset, writes: true, want: syscall.ECONNRESET},
		"reset, a write fails, closed":         {end: reset, writes: true, closes: true, want: syscall.ECONNRESET},
		"in order, then a write fails":         {end: endThenReset, writes: true, want: io.EOF},
		"in order, then a write fails, closed": {end: endThenReset, writes: true, closes: true, want: io.EOF},
		"closed with unread bytes":             {end: (*net.TCPConn).Close, writes: true, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t, test.closes)
			const response = "HTTP/1.1 200 OK\r\n\r\npart"
			_, err := io.WriteString(server, response)
			assert.NilError(t, err)
			part := make([]byte, len(response))
			_, err = io.ReadFull(client, part)
			assert.NilError(t, err)
			if test.writes {
				_, err = io.WriteString(client, "request")
				assert.NilError(t, err)
				time.Sleep(10 * time.Millisecond)
			}
			assert.NilError(t, test.end(server))
			for i := 0; test.writes && err == nil && i < 1000; i++ {
				time.Sleep(time.Millisecond)
				_, err = io.WriteString(client, "more")
			}
			assert.Equal(t, test.writes, err != nil, "a write has failed")
			for range 2 {
				n, err := client.Read(part)
				assert.Equal(t, n, 0)
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
		})
	}
}

// An end of file in order ends a write that the other side does not read.
func TestEndOfFileEndsWrite(t *testing.T) {
	client, server := connect(t, false)
	ended := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 64<<20))
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, server.CloseWrite())
	_, err := client.Read(make([]byte, 1))
	assert.Assert(t, errors.Is(err, io.EOF), "%v", err)
	assert.Assert(t, <-ended != nil)
}

// A read ends before the first byte that is not valid. Nothing is written from then on.
func TestInvalidResponse(t *testing.T) {
	for text, test := range map[string]struct {
		valid string
		fault frame.Fault
	}{
		"HTTP/1.1 000 None\r\n\r\n":                                  {"HTTP/1.1 000 None\r", frame.FaultStatus},
		"HTTP/1.1 200 OK\r\nContent-Length : 2\r\n\r\nok":            {"HTTP/1.1 200 OK\r\nContent-Length", frame.FaultFieldName},
		"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nokHTTP/1.1 200": {"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", frame.FaultUnexpected},
	} {
		client, server := connect(t, false)
		_, err := client.Write([]byte("request"))
		assert.NilError(t, err)
		_, err = io.WriteString(server, text)
		assert.NilError(t, err)
		got, err := io.ReadAll(client)
		assert.Assert(t, errors.Is(err, ErrResponse), "%v", err)
		assert.Equal(t, string(got), test.valid)
		assert.Equal(t, client.Fault(), test.fault)
		_, err = client.Write([]byte("request"))
		assert.Assert(t, errors.Is(err, net.ErrClosed), "%v", err)
	}
}

// closingConn closes itself as it reads an end of file.
type closingConn struct{ net.Conn }

func (c closingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		_ = c.Close()
	}
	return n, err
}

func connect(t *testing.T, closes bool) (*Conn, *net.TCPConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, l.Close()) }()
	client, err := net.Dial("tcp", l.Addr().String())
	assert.NilError(t, err)
	server, err := l.Accept()
	assert.NilError(t, err)
	t.Cleanup(func() {
		_ = client.Close()
		_ = server.Close()
	})
	if closes {
		client = closingConn{client}
	}
	return New(client), server.(*net.TCPConn)
}
