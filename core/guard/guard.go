package guard

import "time"

const (
	// StallTime is how long a response may wait to be read while connections run short. A
	// client that is suspended for a moment reads on sooner.
	StallTime = time.Second
	// aloneFactor is the multiple of Config.MaxBytes that one connection may hold while no
	// other holds any: the largest head that the operator allows may exceed the sum.
	aloneFactor = 4
)

// Config configures a Guard.
type Config struct {
	// MaxConns limits the connections, MaxBytes what their heads hold in sum.
	MaxConns int
	MaxBytes int64
}

// ID names a connection.
type ID uint64

// Closed is a connection to be closed, with the state that it was in.
type Closed struct {
	ID    ID
	State State
}

type conn struct {
	state State
	since time.Time
	bytes int64
}

// Guard keeps account of the connections of one listener.
type Guard struct {
	c     Config
	last  ID
	conns map[ID]*conn
	bytes int64
}

// New returns a Guard without connections.
func New(c Config) *Guard { return &Guard{c: c, conns: map[ID]*conn{}} }

// Admit adds a connection. If there are too many, another one is to be closed. It returns false
// if none may be closed; then the new one has to wait.
func (g *Guard) Admit(now time.Time) (id ID, closed []Closed, ok bool) {
	if len(g.conns) >= g.c.MaxConns {
		victim, found := g.pick(now, 0, false)
		if !found {
			return 0, nil, false
		}
		closed = append(closed, g.close(victim))
	}
	g.last++
	g.conns[g.last] = &conn{state: StateNew, since: now}
	return g.last, closed, true
}

// Hold adds to the bytes that a connection's head holds. If they are too many, others are to be
// closed. It returns false if that does not suffice, or if the connection was closed.
func (g *Guard) Hold(now time.Time, id ID, n int64) (closed []Closed, ok bool) {
	own := g.conns[id]
	if own == nil {
		return nil, false
	}
	for g.bytes+n > g.c.MaxBytes && g.bytes > own.bytes {
		victim, found := g.pick(now, id, true)
		if !found {
			return closed, false
		}
		closed = append(closed, g.close(victim))
	}
	if own.bytes+n > aloneFactor*g.c.MaxBytes {
		return closed, false
	}
	own.bytes += n
	g.bytes += n
	return closed, true
}

// Release gives back a part of what a connection holds.
func (g *Guard) Release(id ID, n int64) {
	if c := g.conns[id]; c != nil {
		n = min(n, c.bytes)
		c.bytes -= n
		g.bytes -= n
	}
}

// Enter sets the state of a connection. It gives back what its head held when the request has ended or
// was refused.
func (g *Guard) Enter(now time.Time, id ID, s State) {
	c := g.conns[id]
	if c == nil || c.state == s {
		return
	}
	c.state, c.since = s, now
	if s == StateIdle || s == StateRefused {
		g.bytes -= c.bytes
		c.bytes = 0
	}
}

// Switch sets the state of a connection that is in another one, and does nothing otherwise.
func (g *Guard) Switch(now time.Time, id ID, from, to State) {
	if c := g.conns[id]; c != nil && c.state == from {
		g.Enter(now, id, to)
	}
}

// Leave removes a connection that was closed.
func (g *Guard) Leave(id ID) {
	if c := g.conns[id]; c != nil {
		g.bytes -= c.bytes
		delete(g.conns, id)
	}
}

// Conns returns the number of connections.
func (g *Guard) Conns() int { return len(g.conns) }

// Count returns the number of connections in a state.
func (g *Guard) Count(s State) int {
	n := 0
	for _, c := range g.conns {
		if c.state == s {
			n++
		}
	}
	return n
}

// Bytes returns what the heads of all connections hold.
func (g *Guard) Bytes() int64 { return g.bytes }

func (g *Guard) close(id ID) Closed {
	state := g.conns[id].state
	g.Leave(id)
	return Closed{id, state}
}

// pick returns the connection to be closed first, other than one; with holding, among those
// that hold bytes.
func (g *Guard) pick(now time.Time, except ID, holding bool) (ID, bool) {
	var best ID
	bestOrder := -1
	for id, c := range g.conns {
		order := c.state.order()
		if id == except || order < 0 || holding && c.bytes == 0 || c.state == StateWrite && now.Sub(c.since) < StallTime {
			continue
		}
		if bestOrder < 0 || order < bestOrder || order == bestOrder && c.before(g.conns[best], id, best) {
			best, bestOrder = id, order
		}
	}
	return best, bestOrder >= 0
}

// before reports whether c has been in its state for longer than other.
func (c *conn) before(other *conn, id, otherID ID) bool {
	if !c.since.Equal(other.since) {
		return c.since.Before(other.since)
	}
	return id < otherID
}
