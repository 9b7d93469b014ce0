package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// Lanes keep long prompts away from answers that must not pause: an engine reads
// a prompt in chunks between the tokens of everything else that it runs. This is
// task assignment by size: the replicas of a model are divided between the classes
// with long prompts and the others, by the work that each brings. All VMs fill the
// lanes in the same order and average what they see of the classes (demand.go), so
// that they agree but for a few replicas at the border.

const (
	// rateTimeConstant is the time over which the rate of a class is averaged.
	rateTimeConstant = 5 * time.Second
	// laneSpread is how many times longer than those of the shortest class the
	// prompts of the longest are where there are lanes, laneTokens how long the
	// prompts of a class in the long lane are at least.
	laneSpread = 4
	laneTokensMin = 2048
	// laneSamplesMin is how many calls are seen before lanes follow what was learned.
	laneSamplesMin = 40
	// initialLongTokens is the length of the shared prefix from which on a call counts as
	// long until then, where Config.FirstLongShare makes lanes from the start.
	initialLongTokens = 1500
	// meanTokensWeight is the weight of a new call in the mean length of its class.
	meanTokensWeight = 0.05
	// shortWeight is what a token of the short lane counts against one of the long:
	// attention makes the work of a long prompt grow faster than its length.
	shortWeight = 0.6
	// laneShareMin and laneShareMax bound the long lane's part of the replicas.
	laneShareMin, laneShareMax = 0.25, 0.7
	// longMaxLoad is the load per slot up to which replicas of the long lane get calls:
	// these wait better at an engine that holds their prefix than run on another
	// that has to read it.
	longMaxLoad = 1.15
	// laneReplicasMin is how many replicas a model needs for lanes.
	laneReplicasMin = 4
	// shortOverflowMaxLoad is the load per slot up to which calls of the short lane may go to
	// any replica when their own lane is full: an engine takes them before the long
	// prompts that wait there, and none of them may be refused while those begin.
	shortOverflowMaxLoad = 1.9
	// longOverflowMaxLoad is the load per slot up to which the short lane takes long prompts
	// for which their own has no room: beyond it their chunks would pause the short
	// answers there.
	longOverflowMaxLoad = 0.25
)

// classStats is what was learned of one classStats of calls.
type classStats struct {
	// own is a count of this VM's calls that fades with laneMemory, as of at; seen
	// is its mean over the VMs that it hears of.
	own, seen float64
	at        time.Time
	// promptTokens is the mean length of the prompts in tokens, workTokens that of the part
	// that no replica has read before.
	promptTokens, workTokens float64
}

func (c *classStats) rate(now time.Time) float64 { return c.seen * c.decay(now) }

func (c *classStats) ownRate(now time.Time) float64 { return c.own * c.decay(now) }

func (c *classStats) decay(now time.Time) float64 {
	return math.Exp(-now.Sub(c.at).Seconds() / rateTimeConstant.Seconds())
}

// set sets the counts as of now.
func (c *classStats) set(now time.Time, own, seen float64) { c.own, c.seen, c.at = own, seen, now }

// classes are those of one model.
type classes struct {
	byName  map[call.Class]*classStats
	samples int
	// tiers counts the calls of each tier in the short and the long lane.
	tiers [2][int(call.MaxTier) + 1]classStats
}

// record counts a call.
func (s *classes) record(now time.Time, c call.Call, homeTokens int) {
	if c.PromptTokens == 0 {
		return
	}
	if s.byName == nil {
		s.byName = map[call.Class]*classStats{}
	}
	one := s.byName[c.Class]
	if one == nil {
		one = &classStats{at: now, promptTokens: float64(c.PromptTokens), workTokens: float64(c.PromptTokens)}
		s.byName[c.Class] = one
	}
	s.samples++
	one.set(now, one.ownRate(now)+1, one.rate(now)+1)
	work := float64(c.PromptTokens)
	if c.SharedTokens >= homeTokens {
		work -= float64(c.SharedTokens)
	}
	tier := &s.tiers[s.laneIndex(c.Class, s.longThreshold(now))][c.Tier]
	tier.set(now, 0, tier.rate(now)+1)
	one.promptTokens += meanTokensWeight * (float64(c.PromptTokens) - one.promptTokens)
	one.workTokens += meanTokensWeight * (max(1, work) - one.workTokens)
}

// laneIndex is 1 for the long lane.
func (s *classes) laneIndex(name call.Class, border float64) int {
	if s.isLong(name, border) {
		return 1
	}
	return 0
}

// reservedShare is the part of the slots that is kept from a call where all other calls
// of its lane are more urgent.
const reservedShare = 0.3

// slotShare is the part of a replica's slots that a call may use: trunk reservation. The
// more of the calls of its lane are more urgent than it, the less, so that in an
// overload the least urgent are refused first and the others find slots free.
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

// ownShare is the part of the fleet's calls of the long lane that come to this VM, of
// vms in all.
func (s *classes) ownShare(now time.Time, border float64, vms int) float64 {
	var own, seen float64
	for name, one := range s.byName {
		if s.isLong(name, border) {
			own += one.ownRate(now)
			seen += one.rate(now)
		}
	}
	even := 1 / float64(vms)
	if seen == 0 {
		return even
	}
	return min(1, max(minShare, own/seen)*even)
}

// isLong reports whether the calls of the class belong to the long lane.
func (s *classes) isLong(name call.Class, border float64) bool {
	one := s.byName[name]
	return one != nil && one.promptTokens >= border
}

// longThreshold returns the length of prompts from which on a class is a long one: halfway
// between the shortest and the longest class by ratio, whatever their rates, so that
// a burst of either does not move it. It is infinite where the lengths are alike.
func (s *classes) longThreshold(now time.Time) float64 {
	least, most := math.Inf(1), 0.0
	for _, one := range s.byName {
		if one.rate(now) >= 1 {
			least, most = min(least, one.promptTokens), max(most, one.promptTokens)
		}
	}
	if most < laneSpread*least {
		return math.Inf(1)
	}
	return max(laneTokensMin, math.Sqrt(least*most))
}

// longShare returns the long lane's part of the work; zero where there is no lane.
func (s *classes) longShare(now time.Time, border float64) float64 {
	var long, all float64
	for name, one := range s.byName {
		work := one.rate(now) * one.workTokens
		if s.isLong(name, border) {
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

// longLane returns the long lane's part of the replicas, zero where there are no
// lanes, and whether the call belongs there.
func (s *classes) longLane(now time.Time, c call.Call, firstShare float64) (share float64, long bool) {
	if s.samples < laneSamplesMin {
		return firstShare, c.SharedTokens >= initialLongTokens
	}
	border := s.longThreshold(now)
	return s.longShare(now, border), s.isLong(c.Class, border)
}

// lane is the part of a model's replicas that a call may use: those from place from
// to before to in the order of lanes.
type lane struct {
	from, to int
	// long is true for the lane of long prompts, short for the other; neither is
	// where there are no lanes.
	long, short bool
}

func (l lane) has(s *state) bool { return s.laneRank >= l.from && s.laneRank < l.to }

// laneOf returns the lane of a call's class; all replicas where there are no lanes.
func (r *Router) laneOf(now time.Time, c call.Call, p *pool) lane {
	all := lane{to: len(p.all)}
	if len(p.all) < laneReplicasMin || c.PromptTokens == 0 {
		return all
	}
	share, long := p.classes.longLane(now, c, r.cfg.InitialLongShare)
	if share == 0 {
		return all
	}
	border := int(math.Round(share * float64(len(p.all))))
	border = min(max(1, border), len(p.all)-1)
	if long {
		return lane{to: border, long: true}
	}
	return lane{from: border, to: len(p.all), short: true}
}

// restrictToLane leaves only the replicas of a lane. Where those have no room left, long
// prompts may use the idle ones of the others.
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

// only returns the part of the replicas for which keep is true.
func (f filtered) only(keep func(*state) bool) filtered {
	out := f
	out.local, out.remote = nil, nil
	for _, s := range f.local {
		if keep(s) {
			out.local = append(out.local, s)
		}
	}
	for _, s := range f.remote {
		if keep(s) {
			out.remote = append(out.remote, s)
		}
	}
	return out
}

// loadPerSlot is a replica's load per slot.
func (r *Router) loadPerSlot(now time.Time, s *state) float64 {
	return s.load(now, r.cfg.ReportMaxAge) / float64(s.Slots)
}

// rankForLanes gives each replica its place in the order of lanes, the same on all VMs.
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
