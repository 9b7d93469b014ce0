// Package peer carries the calls between entry VMs over drpc: one connection to
// each neighbour, redialled when it stays silent, and the periodic exchange of
// gossip items that serves as the heartbeat.
//
// # Usage
//
//	pool := peer.NewPool(peer.PoolConfig{})
//	g := peer.NewGossip(peer.GossipConfig{Self: "e1", Pool: pool, Store: store, Peers: list})
//	timers.Every("gossip", 500*time.Millisecond, g.Round)
//	srv, err := peer.NewServer(peer.ServerConfig{Handler: g})
//	err = srv.Serve(ctx, listener)
package peer

import (
	"context"
	"crypto/tls"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcconn"

	"gentianwell/io/peerpb"
)

// DialFunc opens a connection to a peer.
type DialFunc func(ctx context.Context, address netip.AddrPort) (net.Conn, error)

// PoolConfig configures a Pool.
type PoolConfig struct {
	// Dial opens a connection; the default dials TCP.
	Dial DialFunc
	// TLS is used where it is not nil.
	TLS *tls.Config
	// Timeout bounds each call, dialling included.
	Timeout time.Duration
}

// Defaults fills in the fields left zero.
func (c *PoolConfig) Defaults() {
	if c.Dial == nil {
		c.Dial = dialTCP
	}
	if c.Timeout == 0 {
		c.Timeout = 2 * time.Second
	}
}

func dialTCP(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
	var d net.Dialer
	return d.DialContext(ctx, "tcp", address.String())
}

// Pool keeps one connection for each peer.
type Pool struct {
	c     PoolConfig
	mu    sync.Mutex
	conns map[netip.AddrPort]*drpcconn.Conn
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	c.Defaults()
	return &Pool{c: c, conns: map[netip.AddrPort]*drpcconn.Conn{}}
}

// Call runs fn with a client of the peer at the address. All calls of the Peer
// service are idempotent: one that fails on a kept connection is tried once more
// on a new one. A connection on which a call failed or timed out is not used again.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.c.Timeout)
	defer cancel()
	conn, kept := p.kept(address)
	if kept {
		// A dead connection must leave time for a new one.
		first, cancelFirst := context.WithTimeout(ctx, p.c.Timeout/2)
		defer cancelFirst()
		if err := p.attempt(first, address, conn, fn); err == nil {
			return nil
		}
	}
	conn, err := p.dial(ctx, address)
	if err != nil {
		return errors.Annotatef(err, "Pool.Call: %s", address)
	}
	return errors.Annotatef(p.attempt(ctx, address, conn, fn), "Pool.Call: %s", address)
}

func (p *Pool) attempt(ctx context.Context, address netip.AddrPort, conn *drpcconn.Conn,
	fn func(context.Context, peerpb.DRPCPeerClient) error,
) error {
	if err := fn(ctx, peerpb.NewDRPCPeerClient(conn)); err != nil {
		p.drop(address, conn)
		return err
	}
	return nil
}

func (p *Pool) kept(address netip.AddrPort) (*drpcconn.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	return conn, ok
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := p.c.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.c.TLS != nil {
		raw = tls.Client(raw, p.c.TLS)
	}
	conn := drpcconn.New(raw)
	p.mu.Lock()
	defer p.mu.Unlock()
	if old, ok := p.conns[address]; ok {
		go old.Close()
	}
	p.conns[address] = conn
	return conn, nil
}

func (p *Pool) drop(address netip.AddrPort, conn *drpcconn.Conn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
	}
	// Close waits for the transport, which may be silent.
	go conn.Close()
}

// Close closes all connections.
func (p *Pool) Close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, conn := range p.conns {
		go conn.Close()
		delete(p.conns, address)
	}
}
