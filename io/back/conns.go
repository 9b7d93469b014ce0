package back

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/io/strict"
)

// connTracker tracks the open connections to each backend server.
type connTracker struct {
	dialTo  func(ctx context.Context, address netip.AddrPort) (net.Conn, error)
	timeout time.Duration
	log     logrus.FieldLogger
	mu      sync.Mutex
	open    map[netip.AddrPort]map[*conn]bool
}

func newConnTracker(c Config) *connTracker {
	return &connTracker{
		dialTo: c.Dial, timeout: c.DialTimeout, log: c.Log,
		open: map[netip.AddrPort]map[*conn]bool{},
	}
}

func (s *connTracker) dial(ctx context.Context, _, address string) (net.Conn, error) {
	to, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil, errors.Annotate(err, "connTracker.dial")
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	raw, err := s.dialTo(ctx, to)
	if err != nil {
		return nil, errors.Annotate(err, "connTracker.dial")
	}
	c := &conn{Conn: strict.New(raw), address: to, dialed: time.Now(), onClose: s.untrack}
	s.track(c)
	return c, nil
}

func (s *connTracker) track(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.open[c.address] == nil {
		s.open[c.address] = map[*conn]bool{}
	}
	s.open[c.address][c] = true
}

func (s *connTracker) untrack(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.open[c.address], c)
	if len(s.open[c.address]) == 0 {
		delete(s.open, c.address)
	}
}

// sealIdle seals the idle connections to a backend server and returns them.
func (s *connTracker) sealIdle(address netip.AddrPort) []*conn {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []*conn
	for c := range s.open[address] {
		if c.seal(nil) {
			out = append(out, c)
		}
	}
	return out
}

// closeIdle closes the idle connections to a backend server after one connection to it
// went silent, since the others may be lost as well.
func (s *connTracker) closeIdle(t Target) {
	idle := s.sealIdle(t.Address)
	for _, c := range idle {
		s.close(c)
	}
	s.log.WithFields(logrus.Fields{"event": "silentConnection", "replica": t.ID, "address": t.Address, "idleClosed": len(idle)}).
		Warn("connection to the backend server is silent; closed its idle connections")
}

func (s *connTracker) close(c *conn) {
	if err := c.Close(); err != nil && !errors.Is(err, net.ErrClosed) {
		s.log.WithFields(logrus.Fields{"event": "backendClose", "address": c.address}).WithError(err).Debug("cannot close the connection to the backend server")
	}
}
