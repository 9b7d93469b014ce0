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
// read, not to both.
func TestEndOfFile(t *testing.T) {
	for name, test := range map[string]struct {
		// end ends the server's side of the connection.
		end func(*testing.T, *net.TCPConn)
		// writes makes the client write until a write fails before it reads.
		writes bool
		want   error
	}{
		"in order":                     {end: closeWrite, want: io.EOF},
		"reset":                        {end: reset, want: syscall.ECONNRESET},
		"reset, a write fails":         {end: reset, writes: true, want: syscall.ECONNRESET},
		"in order, then a write fails": {end: closeThenReset, writes: true, want: io.EOF},
		"closed with unread bytes":     {end: closeUnread, writes: true, want: syscall.ECONNRESET},
	} {
		t.Run(name, func(t *testing.T) {
			client, server := connect(t)
			const response = "HTTP/1.1 200 OK\r\n\r\npart"
			_, err := io.WriteString(server, response)
			assert.NilError(t, err)
			part := make([]byte, len(response))
			_, err = io.ReadFull(client, part)
			assert.NilError(t, err)
			if test.writes {
				_, err = io.WriteString(client, "request")
				assert.NilError(t, err)
			}
			test.end(t, server)
			if test.writes {
				for i := 0; err == nil && i < 1000; i++ {
					time.Sleep(time.Millisecond)
					_, err = io.WriteString(client, "more")
				}
				assert.Assert(t, err != nil, "no write has failed")
			}
			for range 2 {
				n, err := client.Read(part)
				assert.Equal(t, n, 0)
				assert.Assert(t, errors.Is(err, test.want), "%v", err)
			}
		})
	}
}

// A write that the other side does not read ends with the response.
func TestEndOfFileEndsWrite(t *testing.T) {
	client, server := connect(t)
	ended := make(chan error, 1)
	go func() {
		_, err := client.Write(make([]byte, 64<<20))
		ended <- err
	}()
	time.Sleep(10 * time.Millisecond)
	closeWrite(t, server)
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
		client, server := connect(t)
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

func connect(t *testing.T) (*Conn, *net.TCPConn) {
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
	return New(client), server.(*net.TCPConn)
}

func closeWrite(t *testing.T, c *net.TCPConn) {
	t.Helper()
	assert.NilError(t, c.CloseWrite())
}

func reset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	assert.NilError(t, c.SetLinger(0))
	assert.NilError(t, c.Close())
}

func closeThenReset(t *testing.T, c *net.TCPConn) {
	t.Helper()
	closeWrite(t, c)
	reset(t, c)
}

// closeUnread closes a connection with bytes that were not read, which resets it.
func closeUnread(t *testing.T, c *net.TCPConn) {
	t.Helper()
	time.Sleep(10 * time.Millisecond)
	assert.NilError(t, c.Close())
}
