package proxy

import (
	"io"
	"net/http"
	"time"

	"gentianwell/core/guard"
	"gentianwell/io/admit"
)

// The least limits for the header of a request and for idle connections. The operator's
// are in force where they allow more.
const (
	minMaxHeaderBytes    = 64 << 10
	minHeaderTimeout     = 10 * time.Second
	minIdleTimeout       = time.Minute
	headerBytesTolerance = 4 << 10
	// maxHeaderBytesWithoutTable is the limit for a header while there is no table: its
	// request is to get 503 and not 431, after which callers do not try again.
	maxHeaderBytesWithoutTable = 1 << 20
	// serverMaxHeaderBytes is that of net/http, which cannot change while it serves.
	serverMaxHeaderBytes = 1 << 30
)

// connLimits are the limits for a caller's connection. headerTimeout is the time from the
// first byte of a header, or from the start of the connection, to the header's end.
type connLimits struct {
	headerBytes                int
	headerTimeout, idleTimeout time.Duration
}

// connLimits returns the limits in force.
func (s *Server) connLimits() connLimits {
	t := s.c.Table()
	if t == nil {
		return connLimits{maxHeaderBytesWithoutTable, minHeaderTimeout, minIdleTimeout}
	}
	return connLimits{
		headerBytes:   int(max(minMaxHeaderBytes, min(t.MaxHeaderBytes(), serverMaxHeaderBytes/2))) + headerBytesTolerance,
		headerTimeout: max(minHeaderTimeout, t.HeaderTimeout()), idleTimeout: max(minIdleTimeout, t.IdleTimeout()),
	}
}

// SetReadDeadline sets the read deadline. Before the end of a header, it replaces the one
// that net/http derives from its constant timeouts by that of the limits in force.
func (c *headerScanConn) SetReadDeadline(t time.Time) error {
	if now := time.Now(); t.After(now) {
		if timeout := c.headerDeadline(); timeout > 0 {
			t = now.Add(timeout)
		}
	}
	return c.Conn.SetReadDeadline(t)
}

// headerDeadline returns the timeout that net/http is about to set; zero if it is not one
// for a header. The first one on an idle connection is the idle timeout.
func (c *headerScanConn) headerDeadline() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	limits := c.limits()
	switch {
	case !c.inHeader:
		return 0
	case c.idle:
		c.idle = false
		return limits.idleTimeout
	}
	return limits.headerTimeout
}

// refusalLinger is how long the connection stays open after a refused header, so that the
// caller gets the refusal before its unread bytes reset the connection.
const refusalLinger = 500 * time.Millisecond

// refuseHeader answers 431 and waits until the caller has closed the connection. An error
// means that it has closed it before.
func (c *headerScanConn) refuseHeader() {
	const status = "431 Request Header Fields Too Large"
	if _, err := io.WriteString(c.Conn, "HTTP/1.1 "+status+"\r\nContent-Type: text/plain; charset=utf-8\r\nConnection: close\r\n\r\n"+status); err != nil {
		return
	}
	if half, ok := c.Conn.(interface{ CloseWrite() error }); !ok || half.CloseWrite() != nil {
		return
	}
	admit.Of(c.Conn).Enter(guard.StateRefused)
	if err := c.Conn.SetReadDeadline(time.Now().Add(refusalLinger)); err == nil {
		_, _ = io.Copy(io.Discard, c.Conn)
	}
}

// headerEnded is called when net/http has read the header of a request.
func headerEnded(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*headerScanConn); ok {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.inHeader = false
	}
}
