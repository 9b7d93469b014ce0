package peer

import (
	"context"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/spread"
	"gentianwell/io/peerpb"
)

// node is one VM's gossip on loopback.
type node struct {
	*Gossip
	store    *spread.Store
	peer     Peer
	contacts chan ExchangeResult
	version  atomic.Int64
}

func startNode(t *testing.T, id call.VMID, dial func(context.Context, netip.AddrPort) (net.Conn, error), peers func() []Peer) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		store:    spread.New(spread.Config{Self: id, Rand: rand.New(rand.NewPCG(gwtest.Seed(), 1))}),
		peer:     Peer{ID: id, Address: netip.MustParseAddrPort(listener.Addr().String())},
		contacts: make(chan ExchangeResult, 16),
	}
	n.Gossip = NewGossip(GossipConfig{
		Self: id, Pool: NewPool(PoolConfig{Dial: dial, Timeout: 500 * time.Millisecond}), Store: n.store,
		Peers: peers, Now: time.Now, SettingsVersion: n.version.Load,
		ItemsChanged:     func(time.Time, spread.Items) {},
		ExchangeDone: func(_ time.Time, c ExchangeResult) { n.contacts <- c },
		NewerSettings:    func(call.VMID, int64) {},
	})
	srv, err := NewServer(ServerConfig{Handler: n.Gossip})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		if err := srv.Serve(ctx, listener); err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return n
}

func none() []Peer { return nil }

func TestExchange(t *testing.T) {
	b := startNode(t, "b", nil, none)
	b.version.Store(4)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{b.peer} })
	put := func(n *node, key string) {
		n.store.Put(time.Now(), spread.Item{ID: spread.ID{Kind: "k", Key: key}, Version: 1, Expires: time.Now().Add(time.Minute)})
	}
	put(a, "x")
	put(b, "y")
	a.Round(time.Now())
	got := <-a.contacts
	assert.NilError(t, got.Err)
	assert.Equal(t, got.SettingsVersion, int64(4))
	assert.Equal(t, len(b.store.All(time.Now(), "k")), 2)
}

// Both sides of an exchange get what the other had learned before it.
func TestExchangeOfDemands(t *testing.T) {
	b := startNode(t, "b", nil, none)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{b.peer} })
	got := make(chan string, 2)
	for _, n := range []*node{a, b} {
		seen := float32(3)
		n.c.Demands = func(time.Time) []*peerpb.ClassDemand {
			return []*peerpb.ClassDemand{{CallClass: string(n.peer.ID), Seen: seen}}
		}
		n.c.ReceiveDemands = func(_ time.Time, demands []*peerpb.ClassDemand) {
			seen = 0
			assert.Check(t, demands[0].Seen == 3)
			got <- string(n.peer.ID) + " from " + demands[0].CallClass
		}
	}
	a.Round(time.Now())
	assert.NilError(t, (<-a.contacts).Err)
	assert.Equal(t, <-got, "b from a")
	assert.Equal(t, <-got, "a from b")
}

// A VM at another VM's address is not taken for it.
func TestExchangeWrongVM(t *testing.T) {
	b := startNode(t, "b", nil, none)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{{ID: "c", Address: b.peer.Address}} })
	a.Round(time.Now())
	assert.ErrorContains(t, (<-a.contacts).Err, "answered by b")
}

// silentConn swallows what is written once its flag is set, as a connection does
// that something between the ends has forgotten.
type silentConn struct {
	net.Conn
	silent *atomic.Bool
}

// Write drops the bytes while the connection is silent.
func (c *silentConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

// A kept connection that went silent is replaced within one call.
func TestSilentConnection(t *testing.T) {
	b := startNode(t, "b", nil, none)
	var mu sync.Mutex
	var flags []*atomic.Bool
	dial := func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
		conn, err := dialTCP(ctx, address)
		mu.Lock()
		defer mu.Unlock()
		flags = append(flags, &atomic.Bool{})
		return &silentConn{Conn: conn, silent: flags[len(flags)-1]}, err
	}
	a := startNode(t, "a", dial, func() []Peer { return []Peer{b.peer} })
	a.Round(time.Now())
	assert.NilError(t, (<-a.contacts).Err)
	mu.Lock()
	flags[0].Store(true)
	mu.Unlock()
	a.Round(time.Now())
	assert.NilError(t, (<-a.contacts).Err)
	assert.Equal(t, len(flags), 2)
}
