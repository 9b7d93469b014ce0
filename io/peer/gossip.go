package peer

import (
	"context"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"storj.io/drpc/drpcerr"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/peerpb"
)

// maxItems limits the items that are read from one message.
const maxItems = 4096

// codeNotImplemented is the drpc error code for a method that this VM does not implement.
const codeNotImplemented = 12

// Peer is another entry VM and its address.
type Peer struct {
	ID      call.VMID
	Address netip.AddrPort
}

// ExchangeResult is the result of an exchange that this VM began.
type ExchangeResult struct {
	// Peer is the called peer. Its ID is empty if only the address was known.
	Peer Peer
	// Err is nil if the exchange succeeded. Only then is SettingsVersion, the version of
	// the peer's settings, set.
	Err             error
	SettingsVersion int64
}

// GossipConfig configures a Gossip. All fields are required unless they are said to be
// optional.
type GossipConfig struct {
	Self  call.VMID
	Zone  call.Zone
	Pool  *Pool
	Store *spread.Store
	// Peers returns the other entry VMs.
	Peers func() []Peer
	Now   func() time.Time
	// SettingsVersion returns the version of this VM's settings.
	SettingsVersion func() int64
	// ItemsChanged is called with the received items that changed the store.
	ItemsChanged func(now time.Time, changed spread.Items)
	// ExchangeDone is called after each exchange that this VM began.
	ExchangeDone func(now time.Time, result ExchangeResult)
	// NewerSettings is called when a peer has newer settings, whichever side began the
	// exchange, with the kind of the message that told of them.
	NewerSettings func(vm call.VMID, version int64, message MessageKind)
	// Loads returns the load reports to send in each exchange, and ReceiveLoads is called
	// with those of a peer. Both are optional.
	Loads        func(now time.Time) []*peerpb.Load
	ReceiveLoads func(now time.Time, loads []*peerpb.Load)
	// Demands returns this VM's measurements of each class of calls, and ReceiveDemands is
	// called with those that a peer had before the exchange. Both are optional.
	Demands        func(now time.Time) []*peerpb.ClassDemand
	ReceiveDemands func(now time.Time, demands []*peerpb.ClassDemand)
	// ReceiveClock is called with the time of the clock of another VM when it sent a message.
	// It may be nil.
	ReceiveClock func(now time.Time, vm call.VMID, clock time.Time)
	// Settings returns the settings tree for a peer, Shares the peer's shares of teams'
	// limits. Both are optional: without them, the method is not implemented.
	Settings func(ctx context.Context, have int64) (version int64, tree []byte, err error)
	Shares   func(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error)
	// Teams returns this VM's measurements of the work of each team, and ReceiveTeams is called
	// with those that a peer had before the exchange. Both are optional.
	Teams        func(now time.Time) []*peerpb.TeamDemand
	ReceiveTeams func(now time.Time, teams []*peerpb.TeamDemand)
	// Usage takes a peer's counts of requests. It is optional: without it, the method is not
	// implemented.
	Usage func(ctx context.Context, req *peerpb.UsageRequest) (*peerpb.UsageReply, error)
	// Received returns the items of a message as they are to be merged, by when the message was sent by
	// the sender's clock. It is optional: without it, they are merged as they are.
	Received func(now time.Time, from call.VMID, sent time.Time, items spread.Items) spread.Items
	// Notices holds what is called with each item of some kinds, after ItemsChanged. Such items are
	// neither kept nor spread. It is optional.
	Notices map[spread.Kind]func(now time.Time, item spread.Item)
}

// MessageKind is the kind of a message of another VM.
type MessageKind string

// The kinds of messages. A peer's exchange is one of its rounds or a push.
const (
	MessageExchange MessageKind = "exchange"
	MessageReply    MessageKind = "reply"
	MessageNotice   MessageKind = "notice"
)

// Gossip exchanges items with neighbours and serves their calls.
type Gossip struct {
	config GossipConfig
}

// NewGossip returns a Gossip; the caller has to call Round periodically.
func NewGossip(c GossipConfig) *Gossip {
	if c.Received == nil {
		c.Received = func(_ time.Time, _ call.VMID, _ time.Time, items spread.Items) spread.Items { return items }
	}
	if c.Loads == nil {
		c.Loads = func(time.Time) []*peerpb.Load { return nil }
	}
	if c.ReceiveClock == nil {
		c.ReceiveClock = func(time.Time, call.VMID, time.Time) {}
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
	if c.Teams == nil {
		c.Teams = func(time.Time) []*peerpb.TeamDemand { return nil }
	}
	if c.ReceiveTeams == nil {
		c.ReceiveTeams = func(time.Time, []*peerpb.TeamDemand) {}
	}
	return &Gossip{config: c}
}

// Round begins one exchange with each of a few neighbours and returns at once.
func (g *Gossip) Round(now time.Time) {
	peers := g.config.Peers()
	byID := make(map[call.VMID]Peer, len(peers))
	ids := make([]call.VMID, 0, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
		ids = append(ids, p.ID)
	}
	items := toProto(g.config.Store.Batch(now, len(ids)+1), now)
	for _, id := range g.config.Store.Targets(ids) {
		go g.exchange(byID[id], items)
	}
}

// ContactAddress begins an exchange with the VM that listens at an address, such as a
// seed, and returns at once.
func (g *Gossip) ContactAddress(now time.Time, address netip.AddrPort) {
	go g.exchange(Peer{Address: address}, toProto(g.config.Store.Batch(now, 1), now))
}

// maxPushes limits the concurrent exchanges of one Push.
const maxPushes = 32

// PushResult tells how many VMs a push was sent to, and how many have answered.
type PushResult struct{ Sent, Answered int }

// Push sends the items to all known VMs and returns at once. It is for rare items that cannot
// wait for the next rounds. The result is sent once all have answered, or do not.
func (g *Gossip) Push(now time.Time, items spread.Items) <-chan PushResult {
	message := toProto(items, now)
	slots := make(chan struct{}, maxPushes)
	var all sync.WaitGroup
	var answered atomic.Int64
	peers := g.config.Peers()
	for _, p := range peers {
		all.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			if g.exchange(p, message) {
				answered.Add(1)
			}
		})
	}
	done := make(chan PushResult, 1)
	go func() {
		all.Wait()
		done <- PushResult{Sent: len(peers), Answered: int(answered.Load())}
	}()
	return done
}

// exchange sends items to a peer and applies its answer. It reports whether the peer has answered.
func (g *Gossip) exchange(to Peer, items []*peerpb.Item) bool {
	req := &peerpb.ExchangeRequest{
		Vm: string(g.config.Self), Zone: string(g.config.Zone), SettingsVersion: g.config.SettingsVersion(), Items: items,
		Loads: g.config.Loads(g.config.Now()), Demands: g.config.Demands(g.config.Now()), Teams: g.config.Teams(g.config.Now()),
	}
	req.ClockNanoseconds = g.config.Now().UnixNano()
	var reply *peerpb.ExchangeReply
	err := g.config.Pool.Call(context.Background(), to.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Exchange(ctx, req)
		return err
	})
	now := g.config.Now()
	if err == nil && to.ID != "" && reply.Vm != string(to.ID) {
		err = errors.NotFoundf("VM %s at %s, answered by %s", to.ID, to.Address, reply.Vm)
	}
	if err != nil {
		g.config.ExchangeDone(now, ExchangeResult{Peer: to, Err: errors.Annotate(err, "Gossip.exchange")})
		return false
	}
	g.config.ExchangeDone(now, ExchangeResult{Peer: to, SettingsVersion: reply.SettingsVersion})
	g.receive(now, received{MessageReply, call.VMID(reply.Vm), reply.SettingsVersion, reply.ClockNanoseconds, reply.Items})
	g.config.ReceiveLoads(now, reply.Loads)
	g.config.ReceiveDemands(now, reply.Demands)
	g.config.ReceiveTeams(now, reply.Teams)
	return true
}

// received is what each message of another VM has. The time of the sender's clock is zero if the VM does
// not send it.
type received struct {
	kind             MessageKind
	from             call.VMID
	version          int64
	clockNanoseconds int64
	items            []*peerpb.Item
}

func (g *Gossip) receive(now time.Time, m received) {
	kept, notices := g.splitNotices(fromProto(m.items, now))
	if m.clockNanoseconds != 0 {
		sent := time.Unix(0, m.clockNanoseconds)
		g.config.ReceiveClock(now, m.from, sent)
		kept = g.config.Received(now, m.from, sent, kept)
	}
	if changed := g.config.Store.Merge(now, kept); len(changed) > 0 {
		g.config.ItemsChanged(now, changed)
	}
	for _, notice := range notices {
		g.config.Notices[notice.Kind](now, notice)
	}
	if m.version > g.config.SettingsVersion() {
		g.config.NewerSettings(m.from, m.version, m.kind)
	}
}

// Exchange serves an exchange that a peer began.
func (g *Gossip) Exchange(_ context.Context, req *peerpb.ExchangeRequest) (*peerpb.ExchangeReply, error) {
	now := g.config.Now()
	if g.isNotice(req) {
		g.receive(now, received{MessageNotice, call.VMID(req.Vm), req.SettingsVersion, req.ClockNanoseconds, req.Items})
		return g.noticeReply(), nil
	}
	reply := &peerpb.ExchangeReply{
		Vm: string(g.config.Self), Zone: string(g.config.Zone), SettingsVersion: g.config.SettingsVersion(),
		Items: toProto(g.config.Store.Batch(now, len(g.config.Peers())+1), now),
		Loads: g.config.Loads(now), Demands: g.config.Demands(now), Teams: g.config.Teams(now), ClockNanoseconds: g.config.Now().UnixNano(),
	}
	g.receive(now, received{MessageExchange, call.VMID(req.Vm), req.SettingsVersion, req.ClockNanoseconds, req.Items})
	g.config.ReceiveLoads(now, req.Loads)
	g.config.ReceiveDemands(now, req.Demands)
	g.config.ReceiveTeams(now, req.Teams)
	return reply, nil
}

// Settings serves the settings tree to a peer with older settings.
func (g *Gossip) Settings(ctx context.Context, req *peerpb.SettingsRequest) (*peerpb.SettingsReply, error) {
	if g.config.Settings == nil {
		return nil, drpcerr.WithCode(errors.NotImplementedf("Settings"), codeNotImplemented)
	}
	version, tree, err := g.config.Settings(ctx, req.HaveVersion)
	if err != nil {
		return nil, errors.Annotate(err, "Gossip.Settings")
	}
	return &peerpb.SettingsReply{Version: version, Tree: tree}, nil
}

// Shares serves a peer's request for shares of limits.
func (g *Gossip) Shares(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	if g.config.Shares == nil {
		return nil, drpcerr.WithCode(errors.NotImplementedf("Shares"), codeNotImplemented)
	}
	reply, err := g.config.Shares(ctx, req)
	return reply, errors.Annotate(err, "Gossip.Shares")
}

// Usage serves a peer's report of counts of requests.
func (g *Gossip) Usage(ctx context.Context, req *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	if g.config.Usage == nil {
		return nil, drpcerr.WithCode(errors.NotImplementedf("Usage"), codeNotImplemented)
	}
	reply, err := g.config.Usage(ctx, req)
	return reply, errors.Annotate(err, "Gossip.Usage")
}

func toProto(items spread.Items, now time.Time) []*peerpb.Item {
	out := make([]*peerpb.Item, 0, len(items))
	for _, it := range items {
		out = append(out, &peerpb.Item{
			Kind: string(it.Kind), Key: it.Key, Version: it.Version, Value: it.Value,
			TtlMilliseconds: it.Expires.Sub(now).Milliseconds(),
		})
	}
	return out
}

func fromProto(items []*peerpb.Item, now time.Time) spread.Items {
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
