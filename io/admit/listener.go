// Package admit applies core/guard to the connections of a listener.
//
// # Usage
//
//	l := admit.New(admit.Config{Listener: tcp, Guard: plan.Service, HTTP: true, Log: log})
//	admit.Bind(srv) // an *http.Server
//	err := srv.Serve(l)
package admit

import (
	"net"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/guard"
)

// logInterval bounds the log lines about closed and refused connections.
const logInterval = time.Second

// waitInterval is how often a connection that found no place tries again.
const waitInterval = 5 * time.Millisecond

// Config configures a Listener. Fields that are not bool are required.
type Config struct {
	Listener net.Listener
	// Name names the listener in log lines.
	Name  string
	Guard guard.Config
	// HTTP is true if the connections carry HTTP/1 in plain text, so that the cost of their
	// heads is counted.
	HTTP bool
	// Messages is true if the connections carry messages that are each answered, and are read
	// into a buffer that is kept.
	Messages bool
	Log      logrus.FieldLogger
}

// Stats are the counts of a Listener.
type Stats struct {
	// Conns and HeadBytes are in use now; Closed and Refused count the connections closed early and
	// the heads refused for lack of memory.
	Conns, Closed, Refused int
	HeadBytes              int64
}

// Listener admits connections.
type Listener struct {
	net.Listener
	c Config

	mu              sync.Mutex
	guard           *guard.Guard
	conns           map[guard.ID]*Conn
	closed, refused int
	logged          time.Time
	done            chan struct{}
	once            sync.Once
}

// New returns a listener.
func New(c Config) *Listener {
	return &Listener{Listener: c.Listener, c: c, guard: guard.New(c.Guard), conns: map[guard.ID]*Conn{}, done: make(chan struct{})}
}

// Close closes the listener.
func (l *Listener) Close() error {
	l.once.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Accept waits for the next connection. While no other one may be closed for it, it waits, and
// those that come after it wait in the system's queue.
func (l *Listener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	for {
		if c := l.admit(conn); c != nil {
			return c, nil
		}
		select {
		case <-l.done:
			_ = conn.Close()
			return nil, net.ErrClosed
		case <-time.After(waitInterval):
		}
	}
}

// admit returns the admitted connection; nil if there is no place for it.
func (l *Listener) admit(conn net.Conn) *Conn {
	l.mu.Lock()
	id, closed, ok := l.guard.Admit(time.Now())
	var c *Conn
	if ok {
		c = &Conn{Conn: conn, l: l, id: id}
		l.conns[id] = c
	}
	victims := l.take(closed)
	l.mu.Unlock()
	l.end(victims, closed)
	return c
}

// take removes connections; l.mu is held.
func (l *Listener) take(closed []guard.Closed) []*Conn {
	var out []*Conn
	for _, v := range closed {
		if c := l.conns[v.ID]; c != nil {
			out = append(out, c)
			delete(l.conns, v.ID)
		}
	}
	l.closed += len(closed)
	return out
}

// end closes the connections that were taken.
func (l *Listener) end(victims []*Conn, closed []guard.Closed) {
	for _, c := range victims {
		_ = c.Conn.Close()
	}
	if len(closed) > 0 {
		l.warn("closed", closed[0].State)
	}
}

// warn writes a line about a connection, at most one in logInterval.
func (l *Listener) warn(what string, state guard.State) {
	l.mu.Lock()
	now := time.Now()
	due := now.Sub(l.logged) >= logInterval
	if due {
		l.logged = now
	}
	s := l.stats()
	l.mu.Unlock()
	if due {
		l.c.Log.WithFields(logrus.Fields{
			"event": "admission", "listener": l.c.Name, "action": what, "state": state, "conns": s.Conns, "maxConns": l.c.Guard.MaxConns,
			"headBytes": s.HeadBytes, "maxHeadBytes": l.c.Guard.MaxBytes, "closed": s.Closed, "refused": s.Refused,
		}).Warn("connections or memory for heads run short")
	}
}

// Stats returns the counts.
func (l *Listener) Stats() Stats {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.stats()
}

func (l *Listener) stats() Stats {
	return Stats{Conns: l.guard.Conns(), Closed: l.closed, Refused: l.refused, HeadBytes: l.guard.Bytes()}
}
