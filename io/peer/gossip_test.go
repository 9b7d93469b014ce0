package peer

import (
	"context"
	"io"
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

// node is the gossip of one VM, with a server on loopback.
type node struct {
	*Gossip
	store   *spread.Store
	peer    Peer
	results chan ExchangeResult
	version atomic.Int64
}

func startNode(t *testing.T, id call.VMID, dial func(context.Context, netip.AddrPort) (net.Conn, error), peers func() []Peer) *node {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	n := &node{
		store:   spread.New(spread.Config{Self: id, Rand: rand.New(rand.NewPCG(gwtest.Seed(), 1))}),
		peer:    Peer{ID: id, Address: netip.MustParseAddrPort(listener.Addr().String())},
		results: make(chan ExchangeResult, 16),
	}
	n.Gossip = NewGossip(GossipConfig{
		Self: id, Pool: NewPool(PoolConfig{Dial: dial, Timeout: 500 * time.Millisecond}), Store: n.store,
		Peers: peers, Now: time.Now, SettingsVersion: n.version.Load,
		ItemsChanged:  func(time.Time, spread.Items) {},
		ExchangeDone:  func(_ time.Time, r ExchangeResult) { n.results <- r },
		NewerSettings: func(call.VMID, int64, MessageKind) {},
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

func noPeers() []Peer { return nil }

func TestExchange(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
	b.version.Store(4)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{b.peer} })
	put := func(n *node, key string) {
		n.store.Put(time.Now(), spread.Item{ID: spread.ID{Kind: "k", Key: key}, Version: 1, Expires: time.Now().Add(time.Minute)})
	}
	put(a, "x")
	put(b, "y")
	a.Round(time.Now())
	got := <-a.results
	assert.NilError(t, got.Err)
	assert.Equal(t, got.SettingsVersion, int64(4))
	assert.Equal(t, len(b.store.All(time.Now(), "k")), 2)
}

// Both sides of an exchange get the other side's demands from before the exchange.
func TestExchangeOfDemands(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{b.peer} })
	got := make(chan string, 2)
	for _, n := range []*node{a, b} {
		seen := float32(3)
		n.config.Demands = func(time.Time) []*peerpb.ClassDemand {
			return []*peerpb.ClassDemand{{CallClass: string(n.peer.ID), Seen: seen}}
		}
		n.config.ReceiveDemands = func(_ time.Time, demands []*peerpb.ClassDemand) {
			seen = 0
			assert.Check(t, demands[0].Seen == 3)
			got <- string(n.peer.ID) + " from " + demands[0].CallClass
		}
	}
	a.Round(time.Now())
	assert.NilError(t, (<-a.results).Err)
	assert.Equal(t, <-got, "b from a")
	assert.Equal(t, <-got, "a from b")
}

// Each side of an exchange learns what the clock of the other one showed.
func TestExchangeOfClocks(t *testing.T) {
	type heard struct {
		vm    call.VMID
		ahead time.Duration
	}
	clocks := make(chan heard, 2)
	a, b := startNode(t, "a", nil, noPeers), startNode(t, "b", nil, noPeers)
	for _, n := range []*node{a, b} {
		n.config.ReceiveClock = func(now time.Time, vm call.VMID, clock time.Time) { clocks <- heard{vm, clock.Sub(now)} }
	}
	b.config.Now = func() time.Time { return time.Now().Add(time.Hour) }
	a.ContactAddress(time.Now(), b.peer.Address)
	for range 2 {
		h := <-clocks
		want := time.Hour
		if h.vm == "a" {
			want = -time.Hour
		}
		assert.Assert(t, (h.ahead-want).Abs() < time.Minute, "%s is %s ahead", h.vm, h.ahead)
	}
}

// An exchange fails if another VM than the expected one answers at the address.
func TestExchangeWrongVM(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
	a := startNode(t, "a", nil, func() []Peer { return []Peer{{ID: "c", Address: b.peer.Address}} })
	a.Round(time.Now())
	assert.ErrorContains(t, (<-a.results).Err, "answered by b")
}

// silentConn discards what is written once its flag is set, like a connection whose
// state a middlebox has dropped.
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

// A call on a cached connection that no longer delivers anything succeeds on a new
// connection.
func TestSilentConnection(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
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
	assert.NilError(t, (<-a.results).Err)
	mu.Lock()
	flags[0].Store(true)
	mu.Unlock()
	a.Round(time.Now())
	assert.NilError(t, (<-a.results).Err)
	assert.Equal(t, len(flags), 2)
}

// cutConn returns an end of file after some bytes, as after a reset that a write has taken.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// A reply that breaks off after any byte is an error.
func TestReplyBreaksOff(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
	b.store.Put(time.Now(), spread.Item{ID: spread.ID{Kind: "k", Key: "x"}, Version: 1, Value: []byte("value"), Expires: time.Now().Add(time.Minute)})
	for size := 0; ; size++ {
		pool := NewPool(PoolConfig{Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			c, err := dialTCP(ctx, address)
			return &cutConn{Conn: c, left: size}, err
		}})
		var got *peerpb.ExchangeReply
		err := pool.Call(t.Context(), b.peer.Address, func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			var err error
			got, err = c.Exchange(ctx, &peerpb.ExchangeRequest{Vm: "a"})
			return err
		})
		pool.Close()
		if err == nil {
			assert.Equal(t, len(got.Items), 1)
			assert.Equal(t, string(got.Items[0].Value), "value")
			assert.Assert(t, size > len("value"))
			return
		}
		assert.Assert(t, size < 1000, "%v", err)
	}
}
