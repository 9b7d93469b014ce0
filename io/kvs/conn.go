package kvs

import (
	"net"
	"net/http/httptrace"
	"sync"
)

// countingConn counts the writes that have begun, and refuses further ones after
// stopWrites. Together these show whether a failed request wrote anything.
type countingConn struct {
	net.Conn

	mu      sync.Mutex
	stopped bool
	writes  int
}

// Write writes to the connection. After stopWrites it returns net.ErrClosed.
func (c *countingConn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, net.ErrClosed
	}
	return c.Conn.Write(p)
}

func (c *countingConn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.stopped {
		return false
	}
	c.writes++
	return true
}

// stopWrites makes further writes fail and returns the number of those begun before.
func (c *countingConn) stopWrites() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.stopped = true
	return c.writes
}

func (c *countingConn) writesBegun() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// writeTracker records the connection that a request uses, and how many writes had
// begun on it before the request.
type writeTracker struct {
	mu           sync.Mutex
	conn         *countingConn
	writesBefore int
}

func (w *writeTracker) trace() *httptrace.ClientTrace {
	return &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		conn, ok := info.Conn.(*countingConn)
		if !ok {
			return
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.conn, w.writesBefore = conn, conn.writesBegun()
	}}
}

// nothingWritten reports whether the failed request certainly wrote nothing. It stops
// further writes on the connection.
func (w *writeTracker) nothingWritten() bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.conn == nil || w.conn.stopWrites() == w.writesBefore
}
