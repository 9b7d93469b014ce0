package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// Lanes separate long prompts from responses that must not stall: an engine prefills a
// prompt in chunks between the tokens of all other requests that it runs. This is task
// assignment by size: the replicas of a model are divided between the classes with long
// prompts (the long lane) and the others (the short lane) in proportion to their work.
// All VMs order the replicas alike and average their statistics of the classes (see
// demand.go), so that they agree on the lanes except for a few replicas at the boundary.

const (
	// rateTimeConstant is the time constant of the exponential decay of the counts of
	// calls.
	rateTimeConstant = 5 * time.Second
	// laneSpread is the minimum ratio of the mean prompt lengths of the longest and the
	// shortest class for lanes, laneTokensMin the minimum mean prompt length of a class
	// in the long lane.
	laneSpread    = 4
	laneTokensMin = 2048
	// laneSamplesMin is the number of calls from which the lanes follow the statistics.
	laneSamplesMin = 40
	// initialLongTokens is the length of the shared prefix from which a call counts as
	// long before that, if Config.InitialLongShare asks for lanes from the start.
	initialLongTokens = 1500
	// meanTokensWeight is the weight of a new call in the moving averages of its class's
	// lengths.
	meanTokensWeight = 0.05
	// shortWeight is the work of a token of the short lane relative to one of the long
	// lane: because of attention, the work of a prompt grows faster than its length.
	shortWeight = 0.6
	// laneShareMin and laneShareMax bound the long lane's share of the replicas.
	laneShareMin, laneShareMax = 0.25, 0.7
	// longMaxLoad is the load per slot up to which replicas of the long lane get calls.
	// It is above 1 because it is better for a long prompt to wait at an engine that has
	// its prefix cached than to run on one that must compute it.
	longMaxLoad = 1.15
	// laneReplicasMin is the minimum number of replicas of a model for lanes.
	laneReplicasMin = 4
	// shortOverflowMaxLoad is the load per slot up to which calls of the short lane may
	// go to any replica when their own lane is full. An engine runs them before the long
	// prompts that wait there, and none of them may be refused while long prompts start.
	shortOverflowMaxLoad = 1.9
	// longOverflowMaxLoad is the load per slot up to which replicas of the short lane
	// take long prompts when the long lane is full. On busier replicas the chunks of
	// the long prompts would stall the responses of the short lane.
	longOverflowMaxLoad = 0.25
)

// classStats holds the statistics of one class of calls.
type classStats struct {
	// own is the decaying count of this VM's calls as of at, seen its average over the
	// VMs that exchange demands.
	own, seen float64
	at        time.Time
	// promptTokens is the mean length of the prompts, workTokens the mean length of the
	// part that no replica has computed before, both in tokens.
	promptTokens, workTokens float64
}

func (c *classStats) rate(now time.Time) float64 { return c.seen * c.decay(now) }

func (c *classStats) ownRate(now time.Time) float64 { return c.own * c.decay(now) }

func (c *classStats) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(c.at).Seconds() / rateTimeConstant.Seconds())
}

// set sets the counts as of now.
func (c *classStats) set(now time.Time, own, seen float64) { c.own, c.seen, c.at = own, seen, now }

// classes holds the statistics of the classes of one model.
type classes struct {
	byName  map[call.Class]*classStats
	samples int
	// tiers counts the calls of each tier in the short and the long lane.
	tiers [2][int(call.MaxTier) + 1]classStats
}

// record adds a call to the statistics.
func (s *classes) record(now time.Time, c call.Call, homeTokens int) {
	if c.PromptTokens == 0 {
		return
	}
	if s.byName == nil {
		s.byName = map[call.Class]*classStats{}
	}
	stats := s.byName[c.Class]
	if stats == nil {
		stats = &classStats{at: now, promptTokens: float64(c.PromptTokens), workTokens: float64(c.PromptTokens)}
		s.byName[c.Class] = stats
	}
	s.samples++
	stats.set(now, stats.ownRate(now)+1, stats.rate(now)+1)
	work := float64(c.PromptTokens)
	if c.SharedTokens >= homeTokens {
		work -= float64(c.SharedTokens)
	}
	tier := &s.tiers[s.laneIndex(c.Class, s.longThreshold(now))][c.Tier]
	tier.set(now, 0, tier.rate(now)+1)
	stats.promptTokens += meanTokensWeight * (float64(c.PromptTokens) - stats.promptTokens)
	stats.workTokens += meanTokensWeight * (max(1, work) - stats.workTokens)
}

// laneIndex returns the index into tiers: 0 for the short lane, 1 for the long lane.
func (s *classes) laneIndex(name call.Class, threshold float64) int {
	if s.isLong(name, threshold) {
		return 1
	}
	return 0
}

// reservedShare is the share of the slots that is withheld from a call if all other calls
// of its lane are more urgent.
const reservedShare = 0.3

// slotShare returns the share of a replica's slots that a call may use (trunk
// reservation). It decreases with the proportion of more urgent calls in the call's lane,
// so that under overload the least urgent calls are refused first and the others find
// free slots.
func (s *classes) slotShare(now time.Time, c call.Call) float64 {
	var urgent, all float64
	tiers := &s.tiers[s.laneIndex(c.Class, s.longThreshold(now))]
	for tier := range tiers {
		rate := tiers[tier].rate(now)
		all += rate
		if call.Tier(tier) < c.Tier {
			urgent += rate
		}
	}
	if all == 0 {
		return 1
	}
	return 1 - reservedShare*urgent/all
}

// ownShare returns this VM's share of the long lane, which follows its share of the
// fleet's long-lane calls. vms is the number of all VMs.
func (s *classes) ownShare(now time.Time, threshold float64, vms int) float64 {
	var own, seen float64
	for name, stats := range s.byName {
		if s.isLong(name, threshold) {
			own += stats.ownRate(now)
			seen += stats.rate(now)
		}
	}
	even := 1 / float64(vms)
	if seen == 0 {
		return even
	}
	return min(1, max(minShare, own/seen)*even)
}

// isLong reports whether the calls of the class belong to the long lane.
func (s *classes) isLong(name call.Class, threshold float64) bool {
	stats := s.byName[name]
	return stats != nil && stats.promptTokens >= threshold
}

// longThreshold returns the mean prompt length from which a class belongs to the long
// lane. It is the geometric mean of the shortest and the longest class regardless of
// their rates, so that a burst of either does not move it. It is infinite if the lengths
// are similar.
func (s *classes) longThreshold(now time.Time) float64 {
	least, most := math.Inf(1), 0.0
	for _, stats := range s.byName {
		if stats.rate(now) >= 1 {
			least, most = min(least, stats.promptTokens), max(most, stats.promptTokens)
		}
	}
	if most < laneSpread*least {
		return math.Inf(1)
	}
	return max(laneTokensMin, math.Sqrt(least*most))
}

// longShare returns the long lane's share of the work, zero if there are no lanes.
func (s *classes) longShare(now time.Time, threshold float64) float64 {
	var long, all float64
	for name, stats := range s.byName {
		work := stats.rate(now) * stats.workTokens
		if s.isLong(name, threshold) {
			long += work
			all += work
			continue
		}
		all += shortWeight * work
	}
	if long == 0 || long == all {
		return 0
	}
	return min(max(laneShareMin, long/all), laneShareMax)
}

// longLane returns the long lane's share of the replicas, zero if there are no lanes, and
// whether the call belongs to it.
func (s *classes) longLane(now time.Time, c call.Call, initialShare float64) (share float64, long bool) {
	if s.samples < laneSamplesMin {
		return initialShare, c.SharedTokens >= initialLongTokens
	}
	threshold := s.longThreshold(now)
	return s.longShare(now, threshold), s.isLong(c.Class, threshold)
}

// lane is the part of a model's replicas that a call may use: those whose laneRank is in
// [from, to).
type lane struct {
	from, to int
	// long is true for the long lane, short for the short lane. Both are false if there
	// are no lanes.
	long, short bool
}

func (l lane) has(s *state) bool { return s.laneRank >= l.from && s.laneRank < l.to }

// hasAny reports whether one of some replicas is in the lane.
func (l lane) hasAny(list []*state) bool { return slices.ContainsFunc(list, l.has) }

// all returns the lane with all replicas of a pool.
func (l lane) all(p *pool) lane {
	l.from, l.to = 0, len(p.all)
	return l
}

// laneOf returns the lane of a call's class, which is all replicas if there are no lanes.
func (r *Router) laneOf(now time.Time, c call.Call, p *pool) lane {
	all := lane{to: len(p.all)}
	if len(p.all) < laneReplicasMin || c.PromptTokens == 0 {
		return all
	}
	share, long := p.classes.longLane(now, c, r.cfg.InitialLongShare)
	if share == 0 {
		return all
	}
	boundary := int(math.Round(share * float64(len(p.all))))
	boundary = min(max(1, boundary), len(p.all)-1)
	if long {
		return lane{to: boundary, long: true}
	}
	return lane{from: boundary, to: len(p.all), short: true}
}

// restrictToLane returns the usable replicas of a lane. If the long lane has none left,
// it returns the nearly idle replicas of the short lane.
func (r *Router) restrictToLane(now time.Time, f filtered, lane lane) filtered {
	out := f.only(lane.has)
	if out.usable() == 0 && lane.long {
		out = f.only(func(s *state) bool { return r.loadPerSlot(now, s) < longOverflowMaxLoad })
	}
	out.full += f.usable() - out.usable()
	out.mean = 0
	for _, part := range [2][]*state{out.local, out.remote} {
		for _, s := range part {
			out.mean += r.loadPerSlot(now, s) / float64(out.usable())
		}
	}
	return out
}

// only returns the replicas for which keep is true.
func (f filtered) only(keep func(*state) bool) filtered {
	out := f
	// One allocation for both.
	kept := make([]*state, 0, f.usable())
	for _, s := range f.local {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	local := len(kept)
	for _, s := range f.remote {
		if keep(s) {
			kept = append(kept, s)
		}
	}
	out.local, out.remote = kept[:local:local], kept[local:]
	return out
}

// loadPerSlot returns a replica's load per slot.
func (r *Router) loadPerSlot(now time.Time, s *state) float64 {
	return s.load(now, r.cfg.ReportMaxAge) / float64(s.Slots)
}

// rankForLanes sets the laneRank of each replica. The order is the same on all VMs.
func rankForLanes(model call.Model, all []*state) {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b *state) int {
		return cmp.Or(cmp.Compare(laneHash(model, a.ID), laneHash(model, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for i, s := range order {
		s.laneRank = i
	}
}

func laneHash(model call.Model, id call.ReplicaID) uint64 {
	return xxhash.Sum64String("lane\x00" + string(model) + "\x00" + string(id))
}
