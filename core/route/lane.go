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
// lanes in the same order and see about the same work, so that they agree but for
// a replica or two at the border.

const (
	// laneMemory is the time over which the rate of a class is averaged.
	laneMemory = 5 * time.Second
	// laneFactor is how many times longer than the mean the prompts of a class are
	// that goes to the long lane, laneTokens how long they are at least.
	laneFactor = 2
	laneTokens = 2048
	// laneSamples is how many calls are seen before there are lanes.
	laneSamples = 50
	// tokensWeight is the weight of a new call in the mean length of its class.
	tokensWeight = 0.05
	// shortWeight is how much more room the short lane gets for its work: its
	// answers are the urgent ones, and stay quick only far below full use.
	shortWeight = 0.6
	// laneShareMin and laneShareMax bound the long lane's part of the replicas.
	laneShareMin, laneShareMax = 0.25, 0.75
	// laneMin is how many replicas a model needs for lanes.
	laneMin = 4
	// laneSpill is the load per slot at which a lane's calls go to the other too.
	laneSpill = 0.85
)

// class is what was learned of one class of calls.
type class struct {
	// seen is a count of calls that fades with laneMemory, as of at.
	seen float64
	at   time.Time
	// prompt is the mean length of the prompts in tokens, work that of the part
	// that no replica has read before.
	prompt, work float64
}

func (c *class) rate(now time.Time) float64 {
	return c.seen * math.Exp(-now.Sub(c.at).Seconds()/laneMemory.Seconds())
}

// classes are those of one model.
type classes struct {
	byName  map[call.Class]*class
	samples int
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
	one.seen = one.rate(now) + 1
	one.at = now
	work := float64(c.PromptTokens)
	if c.SharedTokens >= homeTokens {
		work -= float64(c.SharedTokens)
	}
	one.prompt += tokensWeight * (float64(c.PromptTokens) - one.prompt)
	one.work += tokensWeight * (max(1, work) - one.work)
}

// isLong reports whether the calls of the class belong to the long lane.
func (s *classes) isLong(name call.Class, mean float64) bool {
	one := s.byName[name]
	return one != nil && one.prompt >= laneTokens && one.prompt >= laneFactor*mean
}

// mean returns the mean length of all prompts.
func (s *classes) mean(now time.Time) float64 {
	var calls, tokens float64
	for _, one := range s.byName {
		rate := one.rate(now)
		calls += rate
		tokens += rate * one.prompt
	}
	if calls == 0 {
		return 0
	}
	return tokens / calls
}

// longShare returns the long lane's part of the work; zero where there is no lane.
func (s *classes) longShare(now time.Time, mean float64) float64 {
	var long, all float64
	for name, one := range s.byName {
		work := one.rate(now) * one.work
		if s.isLong(name, mean) {
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

// laneOf returns the lane of a call's class: the replicas from place from to
// before to in the order of lanes. It returns false where there are no lanes.
func (r *Router) laneOf(now time.Time, c call.Call, p *pool) (from, to int, ok bool) {
	if len(p.all) < laneMin || p.classes.samples < laneSamples || c.PromptTokens == 0 {
		return 0, 0, false
	}
	mean := p.classes.mean(now)
	share := p.classes.longShare(now, mean)
	if share == 0 {
		return 0, 0, false
	}
	border := int(math.Round(share * float64(len(p.all))))
	border = min(max(1, border), len(p.all)-1)
	if p.classes.isLong(c.Class, mean) {
		return 0, border, true
	}
	return border, len(p.all), true
}

// narrow leaves only the replicas of a lane, unless all of those are near full.
func (r *Router) narrow(now time.Time, f filtered, from, to int) filtered {
	out := f
	least := math.Inf(1)
	keep := func(part []*state) []*state {
		var kept []*state
		for _, s := range part {
			if s.lane >= from && s.lane < to {
				kept = append(kept, s)
				least = min(least, s.load(now, r.c.ReportMaxAge)/float64(s.Slots))
			}
		}
		return kept
	}
	out.local, out.remote = keep(f.local), keep(f.remote)
	if least >= laneSpill {
		return f
	}
	out.mean = 0
	for _, part := range [2][]*state{out.local, out.remote} {
		for _, s := range part {
			out.mean += s.load(now, r.c.ReportMaxAge) / float64(s.Slots) / float64(out.usable())
		}
	}
	return out
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
