package strict

import (
	"io"
	"net"
	"os"
	"sync"
	"syscall"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/frame"
)

// ErrResponse is the error of a read that found a response that is not valid.
const ErrResponse = errors.ConstError("response is not valid HTTP/1")

// Conn is a connection of an HTTP/1 client.
type Conn struct {
	net.Conn

	// writing is held during a write.
	writing sync.Mutex
	// writeErr is the first error of a write, readErr that of a read.
	writeErr, readErr error

	mu        sync.Mutex
	responses frame.ResponseScanner
	fault     frame.Fault
}

// New returns a Conn that reads from and writes to c.
func New(c net.Conn) *Conn { return &Conn{Conn: c} }

// SetMethod sets the method of the request that is sent next. It is needed if requests may have
// the method HEAD.
func (c *Conn) SetMethod(method string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses.SetMethod(method)
}

// Fault returns that of the last response; FaultNone if it was valid so far.
func (c *Conn) Fault() frame.Fault {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.fault
}

// Write writes to the connection. It returns net.ErrClosed after a response that is not valid.
func (c *Conn) Write(p []byte) (int, error) {
	if !c.sent() {
		return 0, net.ErrClosed
	}
	c.writing.Lock()
	defer c.writing.Unlock()
	n, err := c.Conn.Write(p)
	if err != nil && c.writeErr == nil {
		c.writeErr = err
	}
	return n, err
}

// sent records that a request is sent. It returns false after a response that is not valid.
func (c *Conn) sent() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.responses.Sent()
	return c.fault == frame.FaultNone
}

// Read reads from the connection. It returns io.EOF only if the other side has closed the
// connection in order, and ErrResponse in place of the bytes from a fault on.
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
	if valid, fault := c.scan(p[:n]); fault != frame.FaultNone {
		n, err = valid, errors.Annotatef(ErrResponse, "fault %s", fault)
	}
	if err != nil && !errors.Is(err, os.ErrDeadlineExceeded) {
		c.readErr = err
	}
	return n, err
}

func (c *Conn) scan(p []byte) (int, frame.Fault) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var valid int
	valid, c.fault = c.responses.Scan(p)
	return valid, c.fault
}

// lost returns the error with which the connection was lost before the other side had closed it;
// nil at an end of file in order. It ends a write that is in progress: nobody reads the rest of a
// request whose response has ended.
func (c *Conn) lost() error {
	// An error means that this side has closed the connection, which ends the write as well.
	_ = c.SetWriteDeadline(time.Now())
	c.writing.Lock()
	defer c.writing.Unlock()
	switch {
	case c.writeErr == nil, errors.Is(c.writeErr, os.ErrDeadlineExceeded), errors.Is(c.writeErr, net.ErrClosed):
		return nil
	case errors.Is(c.writeErr, syscall.EPIPE):
		// Linux reports a reset as EPIPE instead of ECONNRESET if the other side had closed
		// the connection before.
		return nil
	}
	return errors.Annotate(c.writeErr, "end of file after a failed write")
}
