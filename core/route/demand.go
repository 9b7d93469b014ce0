package route

import (
	"cmp"
	"math"
	"slices"
	"time"

	"gentianwell/core/call"
)

const (
	// maxDemands limits the number of classes that VMs exchange at once.
	maxDemands = 64
	// minDemand is the count below which a class is dropped.
	minDemand = 0.05
	// maxSeen and maxTokens exceed what any VM can see.
	maxSeen, maxTokens = 1e6, 1e7
)

// Demand holds a VM's statistics of the calls of one class. VMs average their demands in
// pairs (gossip averaging), so that all of them converge to the mean of the fleet: a
// single VM sees too few calls to divide the replicas between the classes.
type Demand struct {
	Model call.Model
	Class call.Class
	// Seen is a count of calls that decays exponentially within seconds.
	Seen float64
	// PromptTokens is the mean length of the prompts, WorkTokens the mean length of
	// the part that no replica has computed before, both in tokens.
	PromptTokens, WorkTokens float64
}

func (d Demand) valid() bool {
	return d.Seen >= 0 && d.Seen <= maxSeen && d.PromptTokens >= 1 && d.PromptTokens <= maxTokens && d.WorkTokens >= 1 && d.WorkTokens <= maxTokens
}

// Demands returns the demand of each class, sorted by descending count.
func (r *Router) Demands(now time.Time) []Demand {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []Demand
	for model, p := range r.pools {
		for name, stats := range p.classes.byName {
			if seen := stats.rate(now); seen >= minDemand {
				out = append(out, Demand{Model: model, Class: name, Seen: seen, PromptTokens: stats.promptTokens, WorkTokens: stats.workTokens})
			}
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(b.Seen, a.Seen), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Class, b.Class))
	})
	return out[:min(len(out), maxDemands)]
}

// AverageDemands replaces each count by the mean of this VM's and another VM's. The other
// VM does the same, so that the sum over both is preserved. Demands that are out of
// range or of an unknown model are ignored.
func (r *Router) AverageDemands(now time.Time, others []Demand) {
	r.mu.Lock()
	defer r.mu.Unlock()
	received := map[call.Model]map[call.Class]Demand{}
	for _, d := range others[:min(len(others), maxDemands)] {
		if r.pools[d.Model] == nil || !d.valid() {
			continue
		}
		if received[d.Model] == nil {
			received[d.Model] = map[call.Class]Demand{}
		}
		received[d.Model][d.Class] = d
	}
	for model, p := range r.pools {
		p.classes.average(now, received[model])
	}
}

// average averages the statistics with those of another VM.
func (s *classes) average(now time.Time, others map[call.Class]Demand) {
	if len(others) == 0 {
		return
	}
	for name, stats := range s.byName {
		own, other := stats.rate(now), others[name]
		stats.set(now, stats.ownRate(now), (own+other.Seen)/2)
		if sum := own + other.Seen; other.Seen > 0 {
			stats.promptTokens = (own*stats.promptTokens + other.Seen*other.PromptTokens) / sum
			stats.workTokens = (own*stats.workTokens + other.Seen*other.WorkTokens) / sum
		}
		if stats.seen < minDemand {
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

// countShared lets the calls counted by other VMs count as samples, so that a new VM
// need not see laneSamplesMin calls itself before it uses the lanes.
func (s *classes) countShared(now time.Time) {
	var all float64
	for _, stats := range s.byName {
		all += stats.rate(now)
	}
	s.samples = max(s.samples, int(math.Min(all, laneSamplesMin)))
}
