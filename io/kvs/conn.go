package kvs

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countedConn counts the writes that were begun, and can be sealed: after that
// none begins. The two together tell whether a failed request wrote anything.
type countedConn struct {
	net.Conn

	mu     sync.Mutex
	sealed bool
	writes int
}

// Write writes to the connection unless it is sealed.
func (c *countedConn) Write(p []byte) (int, error) {
	if !c.begin() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *countedConn) begin() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

// seal forbids further writes and returns how many were begun.
func (c *countedConn) seal() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sealed = true
	return c.writes
}

func (c *countedConn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// writeTracker follows one request to the connection that it uses.
type writeTracker struct {
	mu     sync.Mutex
	conn   *countedConn
	before int
}

func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countedConn)
		if !ok {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conn, w.before = conn, conn.count()
	}}
}

// nothingWritten reports whether the failed request surely wrote nothing.
func (w *writeTracker) nothingWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn == nil || w.conn.seal() == w.before
}
