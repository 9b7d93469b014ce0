// Package peer implements the calls between entry VMs over drpc: a pool with one
// connection to each peer, which is replaced after a failed call, and the periodic
// exchange of gossip items, which is also the heartbeat.
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
	// Dial opens a connection. The default uses TCP.
	Dial DialFunc
	// TLS is the TLS configuration; nil means no TLS.
	TLS *tls.Config
	// Timeout limits each call, including the time to connect.
	Timeout time.Duration
}

// Defaults sets Dial and Timeout to their defaults if they are zero.
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

// Pool keeps one connection to each peer.
type Pool struct {
	config PoolConfig
	mu     sync.Mutex
	conns  map[netip.AddrPort]*drpcconn.Conn
}

// NewPool returns a pool without connections.
func NewPool(c PoolConfig) *Pool {
	c.Defaults()
	return &Pool{config: c, conns: map[netip.AddrPort]*drpcconn.Conn{}}
}

// Call runs fn with a client for the peer at the address. All methods of the Peer
// service are idempotent, so a call that fails on a cached connection is retried once on
// a new one. A connection is not used again after a call on it failed or timed out.
func (p *Pool) Call(ctx context.Context, address netip.AddrPort, fn func(context.Context, peerpb.DRPCPeerClient) error) error {
	ctx, cancel := context.WithTimeout(ctx, p.config.Timeout)
	defer cancel()
	conn, ok := p.cached(address)
	if ok {
		// A dead connection must leave enough time for a call on a new one.
		first, cancelFirst := context.WithTimeout(ctx, p.config.Timeout/2)
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

func (p *Pool) cached(address netip.AddrPort) (*drpcconn.Conn, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	conn, ok := p.conns[address]
	return conn, ok
}

func (p *Pool) dial(ctx context.Context, address netip.AddrPort) (*drpcconn.Conn, error) {
	raw, err := p.config.Dial(ctx, address)
	if err != nil {
		return nil, err
	}
	if p.config.TLS != nil {
		raw = tls.Client(raw, p.config.TLS)
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
	// Close waits for the transport, which may not respond.
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
