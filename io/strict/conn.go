package strict

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"
)

// Conn is a connection of an HTTP/1 client.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error of a write, readErr that of a read.
	writeErr, readErr error
}

// New returns a Conn that reads from and writes to c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// Write writes to the connection.
func (c *Conn) Write(p []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// Read reads from the connection. It returns io.EOF only if the other side has closed the
// connection in order.
func (c *Conn) Read(p []byte) (int, error) {
	if c.readErr != nil {
		return 0, c.readErr
	}
	n, err := c.Conn.Read(p)
	if errors.Is(err, io.EOF) {
		if lost := c.lost(); lost != nil {
			err = lost
		}
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

// lost returns the error with which the connection was lost before the other side had closed it;
// nil at an end of file in order. It ends a write that is in progress: nobody reads the rest of a
// request whose response has ended.
func (c *Conn) lost() error {
	if err := c.SetWriteDeadline(time.Now()); err != nil {
		return errors.Annotate(err, "end of file")
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded):
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE):
		// Linux reports a reset as EPIPE instead of ECONNRESET if the other side had closed
		// the connection before.
		return nil
	}
	return errors.Annotate(c.writeErr, "end of file after a failed write")
}
