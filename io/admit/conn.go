package admit

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"gentianwell/core/guard"
)

// refusalTime is how long a connection stays open for the refusal of a head.
const refusalTime = 500 * time.Millisecond

// refusal promises that the request has not run and never will.
const refusal = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: text/plain; charset=utf-8\r\nRetry-After: 1\r\nConnection: close\r\n\r\nmemoryFull\n"

// Conn is an admitted connection.
type Conn struct {
	net.Conn
	l    *Listener
	id   guard.ID
	once sync.Once
	// pastHead is true from the end of a request's head to the end of its response.
	pastHead atomic.Bool
	// arrived counts the bytes since the last answer, held those that are held for the largest
	// message; one reader and one writer use them, under l.mu.
	arrived, held int64
	// carry is the cost of what may be left in the reader's buffer for the next request, until
	// counted is true; under l.mu.
	carry   int64
	counted bool
	// begun is true from the first read on; http2 is true if it brought the preface of HTTP/2, of
	// which Bind counts each request's head. Only Read uses them.
	begun, http2 bool
}

// http2Preface begins each connection in HTTP/2 (RFC 9113, section 3.4). net/http may read just these
// bytes first.
const http2Preface = "PRI * HTTP/2.0"

// readerBytes is the size of the buffer in which net/http reads ahead.
const readerBytes = 4 << 10

// readAhead returns the cost of the bytes of a read that may belong to the request after the current one.
// A read that ends with an empty line leaves none.
func readAhead(data []byte) int64 {
	if len(data) > readerBytes || bytes.HasSuffix(data, []byte("\n\r\n")) || bytes.HasSuffix(data, []byte("\n\n")) {
		return 0
	}
	return guard.HeadCost(data)
}

// bufferFactor is how many bytes a reader may use for a byte of a message: its buffer doubles.
const bufferFactor = 2

// cost returns what the bytes read may cost beyond what is held already; l.mu is held.
func (c *Conn) cost(data []byte) int64 {
	if c.l.c.HTTP {
		return guard.HeadCost(data)
	}
	c.arrived += int64(len(data))
	more := max(0, bufferFactor*c.arrived-c.held)
	c.held += more
	return more
}

// Read reads from the connection and counts the cost of heads. A head that does not fit gets 503.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 || !c.l.c.HTTP && !c.l.c.Messages {
		return n, err
	}
	if !c.begun {
		c.begun, c.http2 = true, c.l.c.HTTP && bytes.HasPrefix(p[:n], []byte(http2Preface))
	}
	if c.http2 {
		return n, err
	}
	c.l.mu.Lock()
	if c.pastHead.Load() {
		more := readAhead(p[:n])
		if len(p) == 1 {
			// While a request runs, net/http reads one byte ahead, beside what its reader's buffer holds.
			more += c.carry
		}
		c.carry = more
		c.l.mu.Unlock()
		return n, err
	}
	now := time.Now()
	c.l.guard.Enter(now, c.id, guard.StateHead)
	closed, ok := c.l.guard.Hold(now, c.id, c.takeCarry()+c.cost(p[:n]))
	if c.l.c.HTTP {
		c.carry = readAhead(p[:n])
	}
	victims := c.l.take(closed)
	if !ok {
		c.l.refused++
		c.l.guard.Enter(now, c.id, guard.StateRefused)
	}
	c.l.mu.Unlock()
	c.l.end(victims, closed)
	if ok {
		return n, err
	}
	c.l.warn("refused", guard.StateHead)
	if c.l.c.HTTP {
		c.refuse()
	}
	return 0, io.EOF
}

// refuse sends the refusal and waits until the client has closed the connection: if it were closed
// with unread bytes, its reset could overtake the refusal.
func (c *Conn) refuse() {
	if c.Conn.SetDeadline(time.Now().Add(refusalTime)) != nil {
		return
	}
	if _, err := io.WriteString(c.Conn, refusal); err != nil || c.CloseWrite() != nil {
		return
	}
	_, _ = io.Copy(io.Discard, c.Conn)
}

// takeCarry returns the cost of what the reader's buffer may have held when the request began, if it
// is not counted yet; l.mu is held.
func (c *Conn) takeCarry() int64 {
	if c.counted {
		return 0
	}
	c.counted = true
	return c.carry
}

// Write writes to the connection. Until it returns, the client has to read.
func (c *Conn) Write(p []byte) (int, error) {
	if c.l.c.Messages {
		c.l.mu.Lock()
		c.arrived = 0
		c.l.guard.Enter(time.Now(), c.id, guard.StateAnswered)
		c.l.mu.Unlock()
	}
	if !c.pastHead.Load() {
		return c.Conn.Write(p)
	}
	c.change(guard.StateRun, guard.StateWrite)
	// In HTTP/2, the connection may have become idle in the meantime.
	defer c.change(guard.StateWrite, guard.StateRun)
	return c.Conn.Write(p)
}

// CloseWrite closes the writing side.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return c.Conn.Close()
}

// Close closes the connection and gives its place back.
func (c *Conn) Close() error {
	err := c.Conn.Close()
	c.once.Do(func() {
		c.l.mu.Lock()
		defer c.l.mu.Unlock()
		c.l.guard.Leave(c.id)
		delete(c.l.conns, c.id)
	})
	return err
}

// change sets the state of the connection if it is in another one.
func (c *Conn) change(from, to guard.State) {
	c.l.mu.Lock()
	defer c.l.mu.Unlock()
	c.l.guard.Switch(time.Now(), c.id, from, to)
}

// Enter sets the state of the connection.
func (c *Conn) Enter(s guard.State) {
	if c == nil {
		return
	}
	c.pastHead.Store(s == guard.StateBody || s == guard.StateRun || s == guard.StateWrite || s == guard.StateRefused)
	c.l.mu.Lock()
	now := time.Now()
	c.l.guard.Enter(now, c.id, s)
	var closed []guard.Closed
	ok := true
	switch s {
	case guard.StateIdle:
		c.counted = false
	case guard.StateBody, guard.StateRun:
		if more := c.takeCarry(); more > 0 {
			closed, ok = c.l.guard.Hold(now, c.id, more)
		}
	}
	victims := c.l.take(closed)
	c.l.mu.Unlock()
	c.l.end(victims, closed)
	if !ok {
		// The whole head was read ahead, so that it could not be refused before.
		c.l.warn("closed", s)
		_ = c.Conn.Close()
	}
}

// wrapper is a connection that wraps another one, as those of crypto/tls do.
type wrapper interface{ NetConn() net.Conn }

// Of returns the admitted connection below another one; nil if there is none.
func Of(conn net.Conn) *Conn {
	for {
		switch c := conn.(type) {
		case *Conn:
			return c
		case wrapper:
			conn = c.NetConn()
		default:
			return nil
		}
	}
}

type connKey struct{}

// Started records that the head of a request has ended; with a body, that the body is to come.
func Started(r *http.Request) {
	state := guard.StateRun
	if r.Body != nil && r.Body != http.NoBody {
		state = guard.StateBody
	}
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.Enter(state)
	}
}

// BodyRead records that the body of a request has arrived.
func BodyRead(r *http.Request) {
	if c, ok := r.Context().Value(connKey{}).(*Conn); ok {
		c.Enter(guard.StateRun)
	}
}

// Bind makes a server report the states of its connections.
func Bind(srv *http.Server) {
	handler, connContext, connState := srv.Handler, srv.ConnContext, srv.ConnState
	srv.Handler = http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		Started(r)
		if c, ok := r.Context().Value(connKey{}).(*Conn); ok && c != nil && (r.ProtoMajor > 1 || !c.l.c.HTTP) {
			serveCounted(w, r, handler)
			return
		}
		handler.ServeHTTP(w, r)
	})
	srv.ConnContext = func(ctx context.Context, conn net.Conn) context.Context {
		if connContext != nil {
			ctx = connContext(ctx, conn)
		}
		return context.WithValue(ctx, connKey{}, Of(conn))
	}
	srv.ConnState = func(conn net.Conn, state http.ConnState) {
		if state == http.StateIdle {
			Of(conn).Enter(guard.StateIdle)
		}
		if connState != nil {
			connState(conn, state)
		}
	}
}
