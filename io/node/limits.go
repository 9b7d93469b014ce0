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

// reservedFraction is the part of each limit that is not granted as shares. It serves
// the VMs that have no share.
const reservedFraction = 0.1

// limits enforces this VM's shares of the limits and grants shares of the limits
// that this VM owns.
type limits struct {
	self  call.VMID
	zone  call.Zone
	now   func() time.Time
	pool  *peer.Pool
	zones func() map[call.Zone][]peer.Peer

	// mu guards the fields below.
	mu     sync.Mutex
	values map[limit.Key]float64
	local  *limit.Local
	// zoneAllocator grants shares to the zone's VMs, siteAllocator to the zones'
	// owners. zoneShares holds the shares that the site's owners granted to this VM
	// as an owner in its zone.
	zoneAllocator *limit.Allocator
	siteAllocator *limit.Allocator
	zoneShares    *limit.Holder
	// zoneVMs and siteVMs are the usable VMs that the owners were last chosen from.
	zoneVMs, siteVMs []call.VMID
}

func newLimits(l *limits, rng *rand.Rand) (*limits, error) {
	l.values = map[limit.Key]float64{}
	l.zoneShares = limit.NewHolder()
	lc := limit.LocalDefaults()
	lc.Limit = func(key limit.Key) float64 { return l.values[key] }
	lc.Fallback = func() float64 { return reservedFraction / float64(l.vmCount()) }
	lc.Rand = rng
	var err error
	if l.local, err = limit.NewLocal(lc); err != nil {
		return nil, errors.Annotate(err, "newLimits")
	}
	site := limit.AllocatorDefaults()
	site.ReservedFraction = reservedFraction
	site.Capacity = func(_ time.Time, key limit.Key) (float64, time.Time) { return l.values[key], time.Time{} }
	if l.siteAllocator, err = limit.NewAllocator(l.now(), site); err != nil {
		return nil, errors.Annotate(err, "newLimits")
	}
	zone := limit.AllocatorDefaults()
	zone.ReservedFraction = 0
	zone.Capacity = l.zoneCapacity
	l.zoneAllocator, err = limit.NewAllocator(l.now(), zone)
	return l, errors.Annotate(err, "newLimits")
}

// zoneCapacity returns the zone's part of a limit and when that expires: the share
// that the site's owner granted, or a fixed fraction without expiry while there is
// no valid share, as when the owner cannot be reached.
func (l *limits) zoneCapacity(now time.Time, key limit.Key) (float64, time.Time) {
	if rate, until, ok := l.zoneShares.Rate(now, key); ok {
		return rate, until
	}
	return l.values[key] * (1 - reservedFraction) / float64(max(1, len(l.zones()))), time.Time{}
}

// vmCount returns the number of usable entry VMs, at least 1.
func (l *limits) vmCount() int {
	n := 0
	for _, vms := range l.zones() {
		n += len(vms)
	}
	return max(1, n)
}

// classKey returns the key of the limit of one class of one team.
func classKey(team call.Team, class call.Class, unit string) limit.Key {
	return limit.Key("team/" + string(team) + "/class/" + string(class) + "/" + unit)
}

// apply replaces the limits with those of the settings.
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

// allow charges a call to all its limits, or to none if one of them refuses it.
func (l *limits) allow(now time.Time, c *call.Call, cost int) limit.Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.local.Allow(now, l.charges(c, 1, cost)...)
}

// settle charges tokens that allow did not charge.
func (l *limits) settle(now time.Time, c *call.Call, tokens int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.local.Settle(now, l.charges(c, 0, tokens)...)
}

// charges returns the charges for the limits that are set.
func (l *limits) charges(c *call.Call, requests, tokens int) []limit.Charge {
	all := []limit.Charge{
		{Key: limit.TeamRequests(c.Team), Units: requests},
		{Key: limit.TeamTokens(c.Team), Units: tokens},
		{Key: classKey(c.Team, c.Class, "requests"), Units: requests},
		{Key: classKey(c.Team, c.Class, "tokens"), Units: tokens},
	}
	set := all[:0]
	for _, charge := range all {
		if l.values[charge.Key] > 0 && charge.Units > 0 {
			set = append(set, charge)
		}
	}
	return set
}

// requestShares asks the owners for shares: as a VM, the owners in its zone; as its
// zone's owner of a limit, the site's owners.
func (l *limits) requestShares(now time.Time) {
	zones := l.zones()
	for owner, demands := range l.groupByOwner(zones[l.zone], l.localDemands(now)) {
		go l.requestFrom(owner, "", demands, l.grantLocal)
	}
	var all []peer.Peer
	for _, vms := range zones {
		all = append(all, vms...)
	}
	l.updateCandidates(now, zones[l.zone], all)
	for owner, demands := range l.groupByOwner(all, l.zoneDemands(now)) {
		go l.requestFrom(owner, l.zone, demands, l.grantZone)
	}
}

// updateCandidates tells the allocators if the VMs from which owners are chosen have
// changed.
func (l *limits) updateCandidates(now time.Time, zone, all []peer.Peer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.zoneVMs = l.updateAllocator(now, l.zoneAllocator, l.zoneVMs, sortedIDs(zone))
	l.siteVMs = l.updateAllocator(now, l.siteAllocator, l.siteVMs, sortedIDs(all))
}

// updateAllocator tells one allocator if the list differs from the one before, and
// returns the present list.
func (l *limits) updateAllocator(now time.Time, allocator *limit.Allocator, before, present []call.VMID) []call.VMID {
	if !slices.Equal(before, present) {
		allocator.OwnersChanged(now, func(key limit.Key) bool { return limit.Owner(key, before) == l.self })
	}
	return present
}

// sortedIDs returns the peers' ids, sorted, as the peers may come in any order.
func sortedIDs(peers []peer.Peer) []call.VMID {
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
	l.zoneShares.Sweep(now)
	return l.zoneAllocator.Demands(now)
}

// groupByOwner groups demands by the VM that owns the key.
func (l *limits) groupByOwner(vms []peer.Peer, demands limit.Demands) map[peer.Peer]limit.Demands {
	byID := make(map[call.VMID]peer.Peer, len(vms))
	for _, p := range vms {
		byID[p.ID] = p
	}
	live := sortedIDs(vms)
	out := map[peer.Peer]limit.Demands{}
	for _, d := range demands {
		if owner := limit.Owner(d.Key, live); owner != "" {
			out[byID[owner]] = append(out[byID[owner]], d)
		}
	}
	return out
}

// requestFrom requests shares from an owner. A failed request is not retried; the
// demands are sent again when they are due.
func (l *limits) requestFrom(owner peer.Peer, zone call.Zone, demands limit.Demands, grant func(sent time.Time, shares limit.Shares)) {
	sent := l.now()
	req := &peerpb.SharesRequest{Vm: string(l.self), Zone: string(zone)}
	for _, d := range demands {
		req.Demands = append(req.Demands, &peerpb.Demand{Key: string(d.Key), Wanted: d.Wanted})
	}
	if owner.ID == l.self {
		grant(sent, decodeShares(l.grantShares(req)))
		return
	}
	var reply *peerpb.SharesReply
	err := l.pool.Call(context.Background(), owner.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Shares(ctx, req)
		return err
	})
	if err == nil {
		grant(sent, decodeShares(reply))
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
	l.zoneShares.Grant(sent, shares)
}

// serveShares handles a request from a VM, or from a zone's owner if it names a
// zone.
func (l *limits) serveShares(_ context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
	return l.grantShares(req), nil
}

func (l *limits) grantShares(req *peerpb.SharesRequest) *peerpb.SharesReply {
	allocator, member := l.zoneAllocator, limit.Member(req.Vm)
	if req.Zone != "" {
		allocator, member = l.siteAllocator, limit.Member(req.Zone)
	}
	demands := make(limit.Demands, 0, len(req.Demands))
	for _, d := range req.Demands {
		demands = append(demands, limit.Demand{Key: limit.Key(d.Key), Wanted: d.Wanted})
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	reply := &peerpb.SharesReply{}
	for _, s := range allocator.Report(l.now(), member, demands) {
		reply.Shares = append(reply.Shares, &peerpb.Share{Key: string(s.Key), Rate: s.Rate, TtlMilliseconds: s.TTL.Milliseconds()})
	}
	return reply
}

func decodeShares(reply *peerpb.SharesReply) limit.Shares {
	out := make(limit.Shares, 0, len(reply.Shares))
	for _, s := range reply.Shares {
		out = append(out, limit.Share{
			Key: limit.Key(s.Key), Rate: s.Rate, TTL: time.Duration(s.TtlMilliseconds) * time.Millisecond,
		})
	}
	return out
}
