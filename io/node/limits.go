package node

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/limit"
	"gentianwell/core/tree"
	"gentianwell/io/peer"
	"gentianwell/io/peerpb"
)

// keptBack is the part of each limit from which VMs without a share are served.
const keptBack = 0.1

// limits holds this VM's shares of limits and those it grants as a home.
type limits struct {
	self  call.VMID
	zone  call.Zone
	now   func() time.Time
	pool  *peer.Pool
	zones func() map[call.Zone][]peer.Peer

	mu     sync.Mutex
	values map[limit.Key]float64
	local  *limit.Local
	// zoneHome grants to the zone's VMs, siteHome to the zones' homes; held is
	// what this VM, as a zone's home, was granted.
	zoneHome *limit.Allocator
	siteHome *limit.Allocator
	held     *limit.Holder
	// zoneVMs and siteVMs are the live VMs that the homes were last chosen from.
	zoneVMs, siteVMs []call.VMID
}

func newLimits(l *limits, rng *rand.Rand) (*limits, error) {
	l.values = map[limit.Key]float64{}
	l.held = limit.NewHolder()
	lc := limit.LocalDefaults()
	lc.Limit = func(key limit.Key) float64 { return l.values[key] }
	lc.Fallback = func() float64 { return keptBack / float64(l.vms()) }
	lc.Rand = rng
	var err error
	if l.local, err = limit.NewLocal(lc); err != nil {
		return nil, errors.Annotate(err, "newLimits")
	}
	site := limit.AllocatorDefaults()
	site.ReservedFraction = keptBack
	site.Capacity = func(_ time.Time, key limit.Key) (float64, time.Time) { return l.values[key], time.Time{} }
	if l.siteHome, err = limit.NewAllocator(l.now(), site); err != nil {
		return nil, errors.Annotate(err, "newLimits")
	}
	zone := limit.AllocatorDefaults()
	zone.ReservedFraction = 0
	zone.Capacity = l.zoneCapacity
	l.zoneHome, err = limit.NewAllocator(l.now(), zone)
	return l, errors.Annotate(err, "newLimits")
}

// zoneCapacity is the zone's part of a limit: what the site's home granted, or a
// fixed fraction while it cannot be reached.
func (l *limits) zoneCapacity(now time.Time, key limit.Key) (float64, time.Time) {
	if rate, until, ok := l.held.Rate(now, key); ok {
		return rate, until
	}
	return l.values[key] * (1 - keptBack) / float64(max(1, len(l.zones()))), time.Time{}
}

func (l *limits) vms() int {
	n := 0
	for _, vms := range l.zones() {
		n += len(vms)
	}
	return max(1, n)
}

// classKey is the limit of one class of one team.
func classKey(team call.Team, class call.Class, unit string) limit.Key {
	return limit.Key("team/" + string(team) + "/class/" + string(class) + "/" + unit)
}

// apply takes the limits from the settings.
func (l *limits) apply(s *tree.Snapshot) {
	values := map[limit.Key]float64{}
	set := func(key limit.Key, value float64) {
		if value > 0 {
			values[key] = value
		}
	}
	for team := range s.Tree.Teams {
		for class := range s.Tree.Classes {
			p, err := s.Effective(team, class)
			if err != nil {
				continue
			}
			set(limit.TeamRequests(team), p.TeamRequestsPerSecond)
			set(limit.TeamTokens(team), p.TeamTokensPerSecond)
			set(classKey(team, class, "requests"), p.RequestsPerSecond)
			set(classKey(team, class, "tokens"), p.TokensPerSecond)
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.values = values
}

// allow charges a call's limits.
func (l *limits) allow(now time.Time, c *call.Call, cost int) limit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.Allow(now, l.charges(c, 1, cost)...)
}

// settle charges tokens that were not foreseen.
func (l *limits) settle(now time.Time, c *call.Call, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Settle(now, l.charges(c, 0, tokens)...)
}

func (l *limits) charges(c *call.Call, requests, tokens int) []limit.Charge {
	all := []limit.Charge{
		{Key: limit.TeamRequests(c.Team), Units: requests},
		{Key: limit.TeamTokens(c.Team), Units: tokens},
		{Key: classKey(c.Team, c.Class, "requests"), Units: requests},
		{Key: classKey(c.Team, c.Class, "tokens"), Units: tokens},
	}
	some := all[:0]
	for _, charge := range all {
		if l.values[charge.Key] > 0 && charge.Units > 0 {
			some = append(some, charge)
		}
	}
	return some
}

// exchange asks the homes for shares: each VM its zone's homes, and a zone's home
// the site's homes.
func (l *limits) exchange(now time.Time) {
	zones := l.zones()
	for home, demands := range l.group(zones[l.zone], l.localDemands(now)) {
		go l.ask(home, "", demands, l.grantLocal)
	}
	var all []peer.Peer
	for _, vms := range zones {
		all = append(all, vms...)
	}
	l.noteMembers(now, zones[l.zone], all)
	for home, demands := range l.group(all, l.zoneDemands(now)) {
		go l.ask(home, l.zone, demands, l.grantZone)
	}
}

// noteMembers tells the homes which VMs they are chosen from, where that has
// changed.
func (l *limits) noteMembers(now time.Time, zone, all []peer.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zoneVMs = l.note(now, l.zoneHome, l.zoneVMs, ids(zone))
	l.siteVMs = l.note(now, l.siteHome, l.siteVMs, ids(all))
}

// note tells one home and returns the present list.
func (l *limits) note(now time.Time, home *limit.Allocator, before, present []call.VMID) []call.VMID {
	if !slices.Equal(before, present) {
		home.OwnersChanged(now, func(key limit.Key) bool { return limit.Owner(key, before) == l.self })
	}
	return present
}

// ids returns the peers' ids in order.
func ids(peers []peer.Peer) []call.VMID {
	list := make([]call.VMID, 0, len(peers))
	for _, p := range peers {
		list = append(list, p.ID)
	}
	slices.Sort(list)
	return list
}

func (l *limits) localDemands(now time.Time) limit.Demands {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.Demands(now)
}

func (l *limits) zoneDemands(now time.Time) limit.Demands {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Sweep(now)
	return l.zoneHome.Demands(now)
}

// group sorts demands by the key's home among the VMs.
func (l *limits) group(vms []peer.Peer, demands limit.Demands) map[peer.Peer]limit.Demands {
	byID := make(map[call.VMID]peer.Peer, len(vms))
	for _, p := range vms {
		byID[p.ID] = p
	}
	live := ids(vms)
	out := map[peer.Peer]limit.Demands{}
	for _, d := range demands {
		if home := limit.Owner(d.Key, live); home != "" {
			out[byID[home]] = append(out[byID[home]], d)
		}
	}
	return out
}

// ask gets shares from a home; one that does not answer is asked again in time.
func (l *limits) ask(home peer.Peer, zone call.Zone, demands limit.Demands, grant func(sent time.Time, shares limit.Shares)) {
	sent := l.now()
	req := &peerpb.SharesRequest{Vm: string(l.self), Zone: string(zone)}
	for _, d := range demands {
		req.Demands = append(req.Demands, &peerpb.Demand{Key: string(d.Key), Wanted: d.Wanted})
	}
	if home.ID == l.self {
		grant(sent, fromShares(l.answer(req)))
		return
	}
	var reply *peerpb.SharesReply
	err := l.pool.Call(context.Background(), home.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Shares(ctx, req)
		return err
	})
	if err == nil {
		grant(sent, fromShares(reply))
	}
}

func (l *limits) grantLocal(sent time.Time, shares limit.Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Grant(l.now(), sent, shares)
}

func (l *limits) grantZone(sent time.Time, shares limit.Shares) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.held.Grant(sent, shares)
}

// shares answers a VM or a zone's home.
func (l *limits) shares(_ context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	return l.answer(req), nil
}

func (l *limits) answer(req *peerpb.SharesRequest) *peerpb.SharesReply {
	home, who := l.zoneHome, limit.Member(req.Vm)
	if req.Zone != "" {
		home, who = l.siteHome, limit.Member(req.Zone)
	}
	demands := make(limit.Demands, 0, len(req.Demands))
	for _, d := range req.Demands {
		demands = append(demands, limit.Demand{Key: limit.Key(d.Key), Wanted: d.Wanted})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.SharesReply{}
	for _, s := range home.Report(l.now(), who, demands) {
		reply.Shares = append(reply.Shares, &peerpb.Share{Key: string(s.Key), Rate: s.Rate, TtlMilliseconds: s.TTL.Milliseconds()})
	}
	return reply
}

func fromShares(reply *peerpb.SharesReply) limit.Shares {
	out := make(limit.Shares, 0, len(reply.Shares))
	for _, s := range reply.Shares {
		out = append(out, limit.Share{
			Key: limit.Key(s.Key), Rate: s.Rate, TTL: time.Duration(s.TtlMilliseconds) * time.Millisecond,
		})
	}
	return out
}
