package fair

import (
	"cmp"
	"slices"
	"time"

	"gentianwell/core/call"
)

const (
	// maxDemands limits the demands in one message.
	maxDemands = 256
	// maxSum exceeds what any VM can measure.
	maxSum = 1e15
)

// Demand is the work of one team at one service, as decaying sums in prompt tokens. The one without a
// team holds as Asked the requests for which the routers had no room when they arrived.
type Demand struct {
	Model          call.Model
	Team           call.Team
	Asked, Granted float64
}

// valid also excludes NaN.
func (d *Demand) valid() bool {
	return d.Model != "" && d.Asked >= 0 && d.Asked <= maxSum && d.Granted >= 0 && d.Granted <= maxSum
}

// Demands returns what other VMs are to average: those without a team, then the greatest.
func (f *Fair) Demands(now time.Time) []Demand {
	f.mu.Lock()
	defer f.mu.Unlock()
	var out []Demand
	for model, s := range f.services {
		if turned, _ := s.turned.sums(now, f.c.TimeConstant); turned >= minWork {
			out = append(out, Demand{Model: model, Asked: turned})
		}
		for name, t := range s.teams {
			if asked, granted := t.sums(now, f.c.TimeConstant); max(asked, granted) >= minWork {
				out = append(out, Demand{Model: model, Team: name, Asked: asked, Granted: granted})
			}
		}
	}
	slices.SortFunc(out, func(a, b Demand) int {
		if (a.Team == "") != (b.Team == "") {
			return cmp.Compare(a.Team, b.Team)
		}
		return cmp.Or(cmp.Compare(b.Asked, a.Asked), cmp.Compare(a.Model, b.Model), cmp.Compare(a.Team, b.Team))
	})
	return out[:min(len(out), maxDemands)]
}

// Average replaces each sum by the mean of this VM's and another VM's. The other VM does the same, so
// that the total is preserved. Demands that are out of range are ignored. Those of services that the
// other VM does not know stay as they are, as do those that its message had no room for.
func (f *Fair) Average(now time.Time, others []Demand) {
	f.mu.Lock()
	defer f.mu.Unlock()
	complete := len(others) < maxDemands
	received := map[call.Model]map[call.Team]Demand{}
	for _, d := range others[:min(len(others), maxDemands)] {
		if !d.valid() {
			continue
		}
		if received[d.Model] == nil {
			received[d.Model] = map[call.Team]Demand{}
		}
		received[d.Model][d.Team] = d
	}
	for model, teams := range received {
		if s := f.service(model); s != nil {
			s.average(now, &f.c, teams, complete)
		}
	}
}

func (s *service) average(now time.Time, c *Config, others map[call.Team]Demand, complete bool) {
	s.turned.fold(now, c.TimeConstant)
	s.turned.asked.set(now, (s.turned.asked.value+others[""].Asked)/2)
	for name := range others {
		if name != "" {
			s.team(name)
		}
	}
	for name, t := range s.teams {
		t.fold(now, c.TimeConstant)
		other, ok := others[name]
		if !ok && !complete {
			continue
		}
		t.asked.set(now, (t.asked.value+other.Asked)/2)
		t.granted.set(now, (t.granted.value+other.Granted)/2)
	}
	weight := smoothing
	if s.basis(now, c) == BasisOwn {
		// The first exchange, or the first one after a cut: there is nothing to smooth with.
		weight = 1
	}
	s.heardAt = now
	s.compute(now, c, weight)
}
