package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentianwell/core/call"
)

const (
	// maxDemands bounds the classes that a VM tells of.
	maxDemands = 64
	// minDemand is the count below which a class is not told of any more.
	minDemand = 0.05
	// maxSeen and maxTokens are greater than what any VM sees.
	maxSeen, maxTokens = 1e6, 1e7
)

// Demand is what a VM has learned of the calls of one class. VMs average their
// demands in pairs, by which all of them come near the mean of the fleet: each one
// sees too few calls to divide the replicas between the classes alone.
type Demand struct {
	Model call.Model
	Class call.Class
	// Seen is a count of calls that fades within seconds.
	Seen float64
	// PromptTokens is the mean length of the prompts in tokens, WorkTokens that of the part
	// that no replica has read before.
	PromptTokens, WorkTokens float64
}

func (d Demand) valid() bool {
	return d.Seen >= 0 && d.Seen <= maxSeen && d.PromptTokens >= 1 && d.PromptTokens <= maxTokens && d.WorkTokens >= 1 && d.WorkTokens <= maxTokens
}

// Demands returns what was learned of each class, the greatest counts first.
func (r *Router) Demands(now time.Time) []Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Demand
	for model, p := range r.pools {
		for name, one := range p.classes.byName {
			if seen := one.rate(now); seen >= minDemand {
				out = append(out, Demand{Model: model, Class: name, Seen: seen, PromptTokens: one.promptTokens, WorkTokens: one.workTokens})
			}
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Seen, a.Seen), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Class, b.Class))
	})
	return out[:min(len(out), maxDemands)]
}

// AverageDemands replaces each count by the mean of the own one and another VM's,
// who does the same: the sum over both stays as it was. What is out of range, or
// names a model that is not known, is left out.
func (r *Router) AverageDemands(now time.Time, others []Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	heard := map[call.Model]map[call.Class]Demand{}
	for _, d := range others[:min(len(others), maxDemands)] {
		if r.pools[d.Model] == nil || !d.valid() {
			continue
		}
		if heard[d.Model] == nil {
			heard[d.Model] = map[call.Class]Demand{}
		}
		heard[d.Model][d.Class] = d
	}
	for model, p := range r.pools {
		p.classes.average(now, heard[model])
	}
}

// average takes the mean with what another VM has counted.
func (s *classes) average(now time.Time, others map[call.Class]Demand) {
	if len(others) == 0 {
		return
	}
	for name, one := range s.byName {
		own, other := one.rate(now), others[name]
		one.set(now, one.ownRate(now), (own+other.Seen)/2)
		if sum := own + other.Seen; other.Seen > 0 {
			one.promptTokens = (own*one.promptTokens + other.Seen*other.PromptTokens) / sum
			one.workTokens = (own*one.workTokens + other.Seen*other.WorkTokens) / sum
		}
		if one.seen < minDemand {
			delete(s.byName, name)
		}
	}
	if s.byName == nil {
		s.byName = map[call.Class]*classStats{}
	}
	for name, other := range others {
		if s.byName[name] == nil && other.Seen/2 >= minDemand {
			s.byName[name] = &classStats{seen: other.Seen / 2, at: now, promptTokens: other.PromptTokens, workTokens: other.WorkTokens}
		}
	}
	s.countShared(now)
}

// countShared ends the start: a VM that was told of as many calls as it would wait for
// needs not see them itself.
func (s *classes) countShared(now time.Time) {
	var all float64
	for _, one := range s.byName {
		all += one.rate(now)
	}
	s.samples = max(s.samples, int(math.Min(all, laneSamplesMin)))
}
