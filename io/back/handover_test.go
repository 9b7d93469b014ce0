package back

import (
	"context"
	"io"
	"net"
	"net/http/httptrace"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/strict"
)

// net/http may hand a connection to the next attempt before the one before it has ended.
// The end of that attempt, in good order or not, must not close the connection or make it
// look idle, or else the next request is lost.
func TestNextAttemptKeepsConnection(t *testing.T) {
	for name, end := range map[string]func(*attempt){
		"ends":           func(a *attempt) { a.finish(); a.close() },
		"fails":          func(a *attempt) { a.fail(errTruncated); a.close() },
		"then is silent": func(a *attempt) { a.finish(); a.close(); a.client.conns.closeIdle(a.target) },
	} {
		t.Run(name, func(t *testing.T) {
			near, far := net.Pipe()
			defer func() { _ = far.Close() }()
			go func() { _, _ = io.Copy(io.Discard, far) }()
			client := &Client{conns: newConnTracker(Config{DialTimeout: time.Second}.Defaults())}
			c := &conn{Conn: strict.New(near), dialed: time.Now(), onClose: client.conns.untrack}
			client.conns.track(c)
			begin := func(reused bool) *attempt {
				a := newAttempt(client, context.Background(), Target{}, Request{FirstByteTimeout: time.Hour, ProgressTimeout: time.Hour}, nil)
				a.gotConn(httptrace.GotConnInfo{Conn: c, Reused: reused})
				return a
			}
			first := begin(false)
			_, err := c.Write([]byte("first"))
			assert.NilError(t, err)
			next := begin(true)
			end(first)
			_, err = c.Write([]byte("next"))
			assert.NilError(t, err)
			next.close()
			assert.Equal(t, len(client.conns.sealIdle(c.address)), 1)
			assert.NilError(t, c.Close())
		})
	}
}
