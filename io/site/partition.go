package site

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"gentianwell/core/call"
	"gentianwell/io/peer"
)

// Partition cuts VMs off from each other: connections between them go silent
// and new ones are not answered, until it heals.
type Partition struct {
	mu sync.Mutex
	// cut decides about a connection from an entry VM to an address; nil cuts none.
	cut    func(from call.VMID, to netip.AddrPort) bool
	healed chan struct{}
}

// NewPartition returns a partition that cuts nothing; its Dial goes into Config.
func NewPartition() *Partition { return &Partition{healed: make(chan struct{})} }

// Cut cuts the connections that the function names.
func (p *Partition) Cut(cut func(from call.VMID, to netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// Heal ends the partition. Connections that went silent stay so.
func (p *Partition) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
	close(p.healed)
	p.healed = make(chan struct{})
}

func (p *Partition) cuts(from call.VMID, to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut != nil && p.cut(from, to)
}

// Dial returns the function by which an entry VM opens connections.
func (p *Partition) Dial(from call.VMID) peer.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if p.cuts(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, cut: func() bool { return p.cuts(from, to) }}, nil
	}
}

// cutConn is a connection that a partition may silence for good.
type cutConn struct {
	net.Conn
	cut    func() bool
	mu     sync.Mutex
	silent bool
}

func (c *cutConn) lost() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.silent = c.silent || c.cut()
	return c.silent
}

// Write loses the bytes once the connection is silent.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.lost() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read returns nothing once the connection is silent, until it is closed or its
// deadline passes.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.lost() {
			return n, err
		}
	}
}
