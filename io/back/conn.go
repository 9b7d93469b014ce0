package back

import (
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/strict"
)

// errSealed is the error of a write on a connection that is being closed, because its
// request was abandoned before the first byte or another connection is silent.
const errSealed = errors.ConstError("connection is sealed: it is being closed")

// conn is a connection that counts its writes and records when it last made progress.
type conn struct {
	*strict.Conn
	address netip.AddrPort
	dialed  time.Time
	// progress is when the last byte was read or written, as a duration since dialed.
	progress atomic.Int64
	// broken is set when a read or write fails other than because this side closed the
	// connection, such as when the backend server closes or resets it.
	broken  atomic.Bool
	onClose func(*conn)

	mu     sync.Mutex
	writes int
	sealed bool
	// user is the attempt that uses the connection, nil while it is idle. net/http may
	// hand the connection to the next attempt before the last one has ended.
	user *attempt
	// idleLimit is how long the connection may have been idle when a request is sent on
	// it, if idleLimited.
	idleLimit   time.Duration
	idleLimited bool
}

// Read reads and records progress.
func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.recordProgress()
	}
	if err != nil && !errors.Is(err, net.ErrClosed) && !errors.Is(err, strict.ErrResponse) {
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

// limitIdle sets how long the connection may have been idle when a request is sent on it.
func (c *conn) limitIdle(limit time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.idleLimit, c.idleLimited = limit, true
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

// acquire makes the attempt the user of the connection and returns the write count. It
// seals a connection that has been idle for too long.
func (c *conn) acquire(a *attempt) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.user = a
	c.SetMethod(a.request.Method)
	if c.idleLimited && time.Since(c.lastProgress()) >= c.idleLimit {
		c.sealed = true
	}
	return c.writes
}

// release makes the connection idle if the attempt is still its user.
func (c *conn) release(a *attempt) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user == a {
		c.user = nil
	}
}

// seal makes further writes fail if the attempt is still the connection's user; nil
// stands for an idle connection. It reports whether it has sealed the connection, which
// is then to be closed.
func (c *conn) seal(a *attempt) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.user != a {
		return false
	}
	c.sealed = true
	return true
}
