package site

import (
	"context"
	"net"
	"net/netip"
	"sync"

	"gentianwell/core/call"
	"gentianwell/io/peer"
)

// Partition simulates a network partition. Open connections that it cuts carry no data,
// and new ones are not established.
type Partition struct {
	mu sync.Mutex
	// cut reports whether connections from an entry VM to an address are cut; nil means
	// that none are.
	cut    func(from call.VMID, to netip.AddrPort) bool
	healed chan struct{} // closed and replaced by Heal
}

// NewPartition returns a partition that cuts no connections. Its Dial is meant for
// Config.Dial.
func NewPartition() *Partition { return &Partition{healed: make(chan struct{})} }

// Cut cuts the connections for which cut returns true.
func (p *Partition) Cut(cut func(from call.VMID, to netip.AddrPort) bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = cut
}

// Heal ends the partition. Connections that were used while they were cut stay cut.
func (p *Partition) Heal() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.cut = nil
	close(p.healed)
	p.healed = make(chan struct{})
}

func (p *Partition) isCut(from call.VMID, to netip.AddrPort) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.cut != nil && p.cut(from, to)
}

// Dial returns the function by which an entry VM opens connections. If the connection is
// cut, the function waits until the context ends.
func (p *Partition) Dial(from call.VMID) peer.DialFunc {
	return func(ctx context.Context, to netip.AddrPort) (net.Conn, error) {
		if p.isCut(from, to) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		var d net.Dialer
		conn, err := d.DialContext(ctx, "tcp", to.String())
		if err != nil {
			return nil, err
		}
		return &cutConn{Conn: conn, cut: func() bool { return p.isCut(from, to) }}, nil
	}
}

// cutConn is a connection that a partition can cut. Once it has been used while cut, it
// carries no more data, even after Heal.
type cutConn struct {
	net.Conn
	cut    func() bool
	mu     sync.Mutex
	wasCut bool
}

// checkCut reports whether the connection is cut or has been used while it was.
func (c *cutConn) checkCut() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.wasCut = c.wasCut || c.cut()
	return c.wasCut
}

// Write discards the bytes once the connection is cut.
func (c *cutConn) Write(b []byte) (int, error) {
	if c.checkCut() {
		return len(b), nil
	}
	return c.Conn.Write(b)
}

// Read discards what it receives once the connection is cut. It then returns only when the
// connection is closed or its deadline passes.
func (c *cutConn) Read(b []byte) (int, error) {
	for {
		n, err := c.Conn.Read(b)
		if err != nil || !c.checkCut() {
			return n, err
		}
	}
}
