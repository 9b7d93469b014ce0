package back

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// errSealed is the error of a write on a connection whose request was abandoned before
// its first byte, or which is closed because it was idle.
const errSealed = errors.ConstError("connection is sealed: its request was abandoned before the first byte, or it was idle and is closed")

// conn is a connection that counts its writes and records when it last made progress.
type conn struct {
	net.Conn
	address netip.AddrPort
	dialed  time.Time
	// progress is when the last byte was read or written, as a duration since dialed.
	progress atomic.Int64
	// broken is set when a read or write fails other than because this side closed the
	// connection, such as when the backend server closes or resets it.
	broken atomic.Bool
	// user is the attempt that uses the connection; nil while it is idle.
	user    atomic.Pointer[attempt]
	onClose func(*conn)

	mu     sync.Mutex
	writes int
	sealed bool
}

// Read reads and records progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordProgress()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) {
		c.broken.Store(true)
	}
	return n, err
}

// Write writes unless the connection is sealed. A write counts from before it starts;
// if it fails without writing a byte, it no longer counts.
func (c *conn) Write(p []byte) (int, error) {
	if !c.beginWrite() {
		return 0, errSealed
	}
	n, err := c.Conn.Write(p)
	if n > 0 {
		c.recordProgress()
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

// Close closes the connection and calls onClose.
func (c *conn) Close() error {
	c.onClose(c)
	return c.Conn.Close()
}

func (c *conn) recordProgress() { c.progress.Store(int64(time.Since(c.dialed))) }

// lastProgress returns when the last byte was read or written.
func (c *conn) lastProgress() time.Time { return c.dialed.Add(time.Duration(c.progress.Load())) }

// writeCount returns the number of writes so far.
func (c *conn) writeCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.writes
}

// sealUnwritten seals the connection, so that further writes fail, if the write count
// has not increased since it was writesBefore. It reports whether it has sealed it.
func (c *conn) sealUnwritten(writesBefore int) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.writes > writesBefore {
		return false
	}
	c.sealed = true
	return true
}

// sealIdle seals the connection unless an attempt uses it, and reports whether it has.
func (c *conn) sealIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user.Load() != nil {
		return false
	}
	c.sealed = true
	return true
}
