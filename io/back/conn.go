package back

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// errSealed is the error of a write on a connection whose request was given up
// before its first byte.
const errSealed = errors.ConstError("connection is sealed")

// conn is a connection that counts what was written and when it made progress.
type conn struct {
	net.Conn
	address netip.AddrPort
	dialed  time.Time
	// progress is the time of the last byte, as a duration since dialed.
	progress atomic.Int64
	// broken is set when the other side closed or reset the connection.
	broken atomic.Bool
	active atomic.Bool
	onEnd  func(*conn)

	mu     sync.Mutex
	writes int
	sealed bool
}

// Read reads and notes progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.touch()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
	return n, err
}

// Write writes unless the connection is sealed, and counts each write that may
// have put a byte on the wire, from before it starts.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.touch()
	}
	if n == 0 && err != nil {
		c.undoWrite()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
	return n, err
}

func (c *conn) beginWrite() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.sealed {
		return false
	}
	c.writes++
	return true
}

func (c *conn) undoWrite() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writes--
}

// Close closes the connection and forgets it.
func (c *conn) Close() error {
	c.onEnd(c)
	return c.Conn.Close()
}

func (c *conn) touch() { c.progress.Store(int64(time.Since(c.dialed))) }

// last returns when the last byte passed.
func (c *conn) last() time.Time { return c.dialed.Add(time.Duration(c.progress.Load())) }

// count returns the writes so far.
func (c *conn) count() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnwritten makes further writes fail if there were none since the count; it
// reports whether that is so.
func (c *conn) sealUnwritten(since int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > since {
		return false
	}
	c.sealed = true
	return true
}
