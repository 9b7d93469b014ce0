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
	// laneMemory is the time over which the rate of a class is averaged.
	laneMemory = 5 * time.Second
	// laneSpread is how many times longer than those of the shortest class the
	// prompts of the longest are where there are lanes, laneTokens how long the
	// prompts of a class in the long lane are at least.
	laneSpread = 4
	laneTokens = 2048
	// laneSamples is how many calls are seen before lanes follow what was learned.
	laneSamples = 40
	// firstTokens is the length of the shared prefix from which on a call counts as
	// long until then, where Config.FirstLongShare makes lanes from the start.
	firstTokens = 1500
	// tokensWeight is the weight of a new call in the mean length of its class.
	tokensWeight = 0.05
	// shortWeight is what a token of the short lane counts against one of the long:
	// attention makes the work of a long prompt grow faster than its length.
	shortWeight = 0.6
	// laneShareMin and laneShareMax bound the long lane's part of the replicas.
	laneShareMin, laneShareMax = 0.25, 0.7
	// longRoom is the load per slot up to which replicas of the long lane get calls:
	// these wait better at an engine that holds their prefix than run on another
	// that has to read it.
	longRoom = 1.15
	// laneMin is how many replicas a model needs for lanes.
	laneMin = 4
	// urgentRoom is the load per slot up to which calls of the short lane may go to
	// any replica when their own lane is full: an engine takes them before the long
	// prompts that wait there, and none of them may be refused while those begin.
	urgentRoom = 1.9
	// spillRoom is the load per slot up to which the short lane takes long prompts
	// for which their own has no room: beyond it their chunks would pause the short
	// answers there.
	spillRoom = 0.25
)

// class is what was learned of one class of calls.
type class struct {
	// own is a count of this VM's calls that fades with laneMemory, as of at; seen
	// is its mean over the VMs that it hears of.
	own, seen float64
	at        time.Time
	// prompt is the mean length of the prompts in tokens, work that of the part
	// that no replica has read before.
	prompt, work float64
}

func (c *class) rate(now time.Time) float64 { return c.seen * c.fade(now) }

func (c *class) ownRate(now time.Time) float64 { return c.own * c.fade(now) }

func (c *class) fade(now time.Time) float64 {
	return math.Exp(-now.Sub(c.at).Seconds() / laneMemory.Seconds())
}

// set sets the counts as of now.
func (c *class) set(now time.Time, own, seen float64) { c.own, c.seen, c.at = own, seen, now }

// classes are those of one model.
type classes struct {
	byName  map[call.Class]*class
	samples int
	// tiers counts the calls of each tier in the short and the long lane.
	tiers [2][int(call.MaxTier) + 1]class
}

// learn counts a call.
func (s *classes) learn(now time.Time, c call.Call, homeTokens int) {
	if c.PromptTokens == 0 {
		return
	}
	if s.byName == nil {
		s.byName = map[call.Class]*class{}
	}
	one := s.byName[c.Class]
	if one == nil {
		one = &class{at: now, prompt: float64(c.PromptTokens), work: float64(c.PromptTokens)}
		s.byName[c.Class] = one
	}
	s.samples++
	one.set(now, one.ownRate(now)+1, one.rate(now)+1)
	work := float64(c.PromptTokens)
	if c.SharedTokens >= homeTokens {
		work -= float64(c.SharedTokens)
	}
	tier := &s.tiers[s.laneIndex(c.Class, s.border(now))][c.Tier]
	tier.set(now, 0, tier.rate(now)+1)
	one.prompt += tokensWeight * (float64(c.PromptTokens) - one.prompt)
	one.work += tokensWeight * (max(1, work) - one.work)
}

// laneIndex is 1 for the long lane.
func (s *classes) laneIndex(name call.Class, border float64) int {
	if s.isLong(name, border) {
		return 1
	}
	return 0
}

// reserve is the part of the slots that is kept from a call where all other calls
// of its lane are more urgent.
const reserve = 0.3

// room is the part of a replica's slots that a call may use: trunk reservation. The
// more of the calls of its lane are more urgent than it, the less, so that in an
// overload the least urgent are refused first and the others find slots free.
func (s *classes) room(now time.Time, c call.Call) float64 {
	var urgent, all float64
	tiers := &s.tiers[s.laneIndex(c.Class, s.border(now))]
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
	return 1 - reserve*urgent/all
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
	return min(1, max(leastShare, own/seen)*even)
}

// isLong reports whether the calls of the class belong to the long lane.
func (s *classes) isLong(name call.Class, border float64) bool {
	one := s.byName[name]
	return one != nil && one.prompt >= border
}

// border returns the length of prompts from which on a class is a long one: halfway
// between the shortest and the longest class by ratio, whatever their rates, so that
// a burst of either does not move it. It is infinite where the lengths are alike.
func (s *classes) border(now time.Time) float64 {
	least, most := math.Inf(1), 0.0
	for _, one := range s.byName {
		if one.rate(now) >= 1 {
			least, most = min(least, one.prompt), max(most, one.prompt)
		}
	}
	if most < laneSpread*least {
		return math.Inf(1)
	}
	return max(laneTokens, math.Sqrt(least*most))
}

// longShare returns the long lane's part of the work; zero where there is no lane.
func (s *classes) longShare(now time.Time, border float64) float64 {
	var long, all float64
	for name, one := range s.byName {
		work := one.rate(now) * one.work
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

// divide returns the long lane's part of the replicas, zero where there are no
// lanes, and whether the call belongs there.
func (s *classes) divide(now time.Time, c call.Call, firstShare float64) (share float64, long bool) {
	if s.samples < laneSamples {
		return firstShare, c.SharedTokens >= firstTokens
	}
	border := s.border(now)
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

func (l lane) has(s *state) bool { return s.lane >= l.from && s.lane < l.to }

// laneOf returns the lane of a call's class; all replicas where there are no lanes.
func (r *Router) laneOf(now time.Time, c call.Call, p *pool) lane {
	all := lane{to: len(p.all)}
	if len(p.all) < laneMin || c.PromptTokens == 0 {
		return all
	}
	share, long := p.classes.divide(now, c, r.c.InitialLongShare)
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

// narrow leaves only the replicas of a lane. Where those have no room left, long
// prompts may use the idle ones of the others.
func (r *Router) narrow(now time.Time, f filtered, lane lane) filtered {
	out := f.only(lane.has)
	if out.usable() == 0 && lane.long {
		out = f.only(func(s *state) bool { return r.perSlot(now, s) < spillRoom })
	}
	out.full += f.usable() - out.usable()
	out.mean = 0
	for _, part := range [2][]*state{out.local, out.remote} {
		for _, s := range part {
			out.mean += r.perSlot(now, s) / float64(out.usable())
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

// perSlot is a replica's load per slot.
func (r *Router) perSlot(now time.Time, s *state) float64 {
	return s.load(now, r.c.ReportMaxAge) / float64(s.Slots)
}

// fillLanes gives each replica its place in the order of lanes, the same on all VMs.
func fillLanes(model call.Model, all []*state) {
	order := slices.Clone(all)
	slices.SortFunc(order, func(a, b *state) int {
		return cmp.Or(cmp.Compare(laneHash(model, a.ID), laneHash(model, b.ID)), cmp.Compare(a.ID, b.ID))
	})
	for i, s := range order {
		s.lane = i
	}
}

func laneHash(model call.Model, id call.ReplicaID) uint64 {
	return xxhash.Sum64String("lane\x00" + string(model) + "\x00" + string(id))
}
