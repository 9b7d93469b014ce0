package peer

import (
	"context"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcerr"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/peerpb"
)

// maxItems bounds the items that are read from one message.
const maxItems = 4096

// codeNotImplemented is the drpc error code for a call that this VM cannot answer.
const codeNotImplemented = 12

// Peer is an entry VM that can be called.
type Peer struct {
	ID      call.VMID
	Address netip.AddrPort
}

// ExchangeResult tells how a round's exchange with one peer went.
type ExchangeResult struct {
	Peer            Peer
	Err             error
	SettingsVersion int64
}

// GossipConfig configures a Gossip. All fields are needed, but for Settings and
// Shares.
type GossipConfig struct {
	Self  call.VMID
	Zone  call.Zone
	Pool  *Pool
	Store *spread.Store
	// Peers returns the entry VMs to talk to, without this one.
	Peers func() []Peer
	// Now gives the present time.
	Now func() time.Time
	// SettingsVersion returns the version in force on this VM.
	SettingsVersion func() int64
	// ItemsChanged is called with the items that changed what is kept.
	ItemsChanged func(now time.Time, changed spread.Items)
	// ExchangeDone is called after each exchange that this VM began.
	ExchangeDone func(now time.Time, contact ExchangeResult)
	// NewerSettings is called when a peer has newer settings, whoever began the exchange.
	NewerSettings func(vm call.VMID, version int64)
	// Loads returns the load reports that go with each exchange, HeardLoads takes
	// those of a peer; nil: none.
	Loads      func(now time.Time) []*peerpb.Load
	ReceiveLoads func(now time.Time, loads []*peerpb.Load)
	// Demands returns what was learned of each class of calls, HeardDemands takes
	// that of the other side of an exchange, as it was before; nil: none.
	Demands      func(now time.Time) []*peerpb.ClassDemand
	ReceiveDemands func(now time.Time, demands []*peerpb.ClassDemand)
	// Settings answers a peer's request for the tree, Shares one for limits.
	Settings func(ctx context.Context, have int64) (version int64, tree []byte, err error)
	Shares   func(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error)
}

// Gossip exchanges items with neighbours and answers their calls.
type Gossip struct {
	c GossipConfig
}

// NewGossip returns a gossip; Round starts each round.
func NewGossip(c GossipConfig) *Gossip {
	if c.Loads == nil {
		c.Loads = func(time.Time) []*peerpb.Load { return nil }
	}
	if c.ReceiveLoads == nil {
		c.ReceiveLoads = func(time.Time, []*peerpb.Load) {}
	}
	if c.Demands == nil {
		c.Demands = func(time.Time) []*peerpb.ClassDemand { return nil }
	}
	if c.ReceiveDemands == nil {
		c.ReceiveDemands = func(time.Time, []*peerpb.ClassDemand) {}
	}
	return &Gossip{c: c}
}

// Round begins one exchange with each of a few neighbours and returns at once.
func (g *Gossip) Round(now time.Time) {
	peers := g.c.Peers()
	byID := make(map[call.VMID]Peer, len(peers))
	ids := make([]call.VMID, 0, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
		ids = append(ids, p.ID)
	}
	items := toMessage(g.c.Store.Batch(now, len(ids)+1), now)
	for _, id := range g.c.Store.Targets(ids) {
		go g.exchange(byID[id], items)
	}
}

// ContactAddress begins an exchange with whoever listens at an address, a seed for
// example, and returns at once.
func (g *Gossip) ContactAddress(now time.Time, address netip.AddrPort) {
	go g.exchange(Peer{Address: address}, toMessage(g.c.Store.Batch(now, 1), now))
}

// maxPushes bounds the exchanges of one Push at the same time.
const maxPushes = 32

// Push hands the items to all VMs and returns at once. It is for rare items that
// cannot wait for the rounds.
func (g *Gossip) Push(now time.Time, items spread.Items) {
	message := toMessage(items, now)
	slots := make(chan struct{}, maxPushes)
	for _, p := range g.c.Peers() {
		go func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			g.exchange(p, message)
		}()
	}
}

func (g *Gossip) exchange(to Peer, items []*peerpb.Item) {
	req := &peerpb.ExchangeRequest{
		Vm: string(g.c.Self), Zone: string(g.c.Zone), SettingsVersion: g.c.SettingsVersion(), Items: items,
		Loads: g.c.Loads(g.c.Now()), Demands: g.c.Demands(g.c.Now()),
	}
	var reply *peerpb.ExchangeReply
	err := g.c.Pool.Call(context.Background(), to.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Exchange(ctx, req)
		return err
	})
	now := g.c.Now()
	if err == nil && to.ID != "" && reply.Vm != string(to.ID) {
		err = errors.NotFoundf("VM %s at %s, answered by %s", to.ID, to.Address, reply.Vm)
	}
	if err != nil {
		g.c.ExchangeDone(now, ExchangeResult{Peer: to, Err: errors.Annotate(err, "Gossip.exchange")})
		return
	}
	g.c.ExchangeDone(now, ExchangeResult{Peer: to, SettingsVersion: reply.SettingsVersion})
	g.hear(now, call.VMID(reply.Vm), reply.SettingsVersion, reply.Items)
	g.c.ReceiveLoads(now, reply.Loads)
	g.c.ReceiveDemands(now, reply.Demands)
}

func (g *Gossip) hear(now time.Time, from call.VMID, version int64, items []*peerpb.Item) {
	if changed := g.c.Store.Merge(now, fromMessage(items, now)); len(changed) > 0 {
		g.c.ItemsChanged(now, changed)
	}
	if version > g.c.SettingsVersion() {
		g.c.NewerSettings(from, version)
	}
}

// Exchange answers a peer's exchange.
func (g *Gossip) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := g.c.Now()
	reply := &peerpb.ExchangeReply{
		Vm: string(g.c.Self), Zone: string(g.c.Zone), SettingsVersion: g.c.SettingsVersion(),
		Items: toMessage(g.c.Store.Batch(now, len(g.c.Peers())+1), now),
		Loads: g.c.Loads(now), Demands: g.c.Demands(now),
	}
	g.hear(now, call.VMID(req.Vm), req.SettingsVersion, req.Items)
	g.c.ReceiveLoads(now, req.Loads)
	g.c.ReceiveDemands(now, req.Demands)
	return reply, nil
}

// Settings answers a peer that is behind.
func (g *Gossip) Settings(ctx context.Context, req *peerpb.SettingsRequest) (*peerpb.SettingsReply, error) {
	if g.c.Settings == nil {
		return nil, drpcerr.WithCode(errors.NotImplementedf("Settings"), codeNotImplemented)
	}
	version, tree, err := g.c.Settings(ctx, req.HaveVersion)
	if err != nil {
		return nil, errors.Annotate(err, "Gossip.Settings")
	}
	return &peerpb.SettingsReply{Version: version, Tree: tree}, nil
}

// Shares answers a peer that asks for shares of limits.
func (g *Gossip) Shares(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	if g.c.Shares == nil {
		return nil, drpcerr.WithCode(errors.NotImplementedf("Shares"), codeNotImplemented)
	}
	reply, err := g.c.Shares(ctx, req)
	return reply, errors.Annotate(err, "Gossip.Shares")
}

func toMessage(items spread.Items, now time.Time) []*peerpb.Item {
	out := make([]*peerpb.Item, 0, len(items))
	for _, it := range items {
		out = append(out, &peerpb.Item{
			Kind: string(it.Kind), Key: it.Key, Version: it.Version, Value: it.Value,
			TtlMilliseconds: it.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

func fromMessage(items []*peerpb.Item, now time.Time) spread.Items {
	out := make(spread.Items, 0, min(len(items), maxItems))
	for _, it := range items[:min(len(items), maxItems)] {
		out = append(out, spread.Item{
			ID:      spread.ID{Kind: spread.Kind(it.Kind), Key: it.Key},
			Version: it.Version, Value: it.Value,
			Expires: now.Add(time.Duration(it.TtlMilliseconds) * time.Millisecond),
		})
	}
	return out
}
