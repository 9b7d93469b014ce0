package place

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

const (
	testTTL          = 30 * time.Second
	testOrderTimeout = 10 * time.Second
)

var begin = time.Unix(1000, 0)

// engine is a replica with what it has really loaded beside what it last
// reported.
type engine struct {
	Replica
	actual []Artifact
	// highestToken is the fencing token of the last order that took effect.
	highestToken int
}

// sentOrder is an order in transit, with the fencing token of its sender.
type sentOrder struct {
	Order
	token     int
	arrivesAt time.Time
}

// simulation runs a planner against engines whose reports lag, while orders are
// lost or delayed and the lease holder changes.
type simulation struct {
	now       time.Time
	needs     Needs
	engines   []*engine
	planner   *Planner
	token     int
	takenAt   time.Time
	inTransit []sentOrder
	// paused is an order of an earlier holder that was paused before sending it.
	paused          *sentOrder
	loadedMegabytes int
}

func newSimulation(t *rapid.T) *simulation {
	s := &simulation{now: begin}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		s.needs = append(s.needs, Need{
			Artifact:  Artifact{Model: call.Model(fmt.Sprint("m", i)), Version: rapid.SampledFrom([]string{"", "2"}).Draw(t, "version")},
			Tier:      call.Tier(i),
			Copies:    rapid.IntRange(1, 3).Draw(t, "copies"),
			MinCopies: rapid.IntRange(0, 1).Draw(t, "floor"),
			Megabytes: 100,
		})
	}
	for i := range rapid.IntRange(1, 5).Draw(t, "engines") {
		e := &engine{Replica: Replica{
			ID: call.ReplicaID(fmt.Sprint("r", i)), Zone: call.Zone(fmt.Sprint("z", i%2)),
			Slots: rapid.IntRange(1, 2).Draw(t, "slots"), ChecksOrders: rapid.Bool().Draw(t, "checks"),
		}}
		for range e.Slots {
			a := Artifact{Model: call.Model(fmt.Sprint("m", rapid.IntRange(0, 3).Draw(t, "held")))}
			if !slices.Contains(e.actual, a) {
				e.actual = append(e.actual, a)
			}
		}
		s.engines = append(s.engines, e)
	}
	s.takeOver(nil)
	return s
}

// takeOver replaces the lease holder. One order of the old holder may be delayed
// without limit, as after a pause between its last check and its write.
func (s *simulation) takeOver(*rapid.T) {
	if i := slices.IndexFunc(s.inTransit, func(o sentOrder) bool { return o.token > 0 }); s.paused == nil && i >= 0 {
		s.paused = &s.inTransit[i]
		s.inTransit = slices.Delete(slices.Clone(s.inTransit), i, i+1)
	}
	s.token++
	s.takenAt = s.now
	s.planner = NewPlanner(Config{ReadRate: 20, ReadBurst: 1000, OrderTimeout: testOrderTimeout})
	for _, e := range s.engines {
		e.EarlierOrdersEnded = time.Time{}
	}
}

// fence passes the new holder's fencing token to the engines that check it. For
// those that do not, it waits until the old holder's orders have ended.
func (s *simulation) fence(*rapid.T) {
	for _, e := range s.engines {
		settled := s.takenAt.Add(testTTL + testOrderTimeout)
		switch {
		case !e.EarlierOrdersEnded.IsZero():
		case e.ChecksOrders:
			e.highestToken, e.EarlierOrdersEnded = s.token, s.now
		case s.now.After(settled):
			e.EarlierOrdersEnded = s.now
		}
		e.OrdersAllowed = !e.EarlierOrdersEnded.IsZero()
	}
}

// advance moves the clock on and delivers the orders that arrive by then.
func (s *simulation) advance(t *rapid.T) {
	s.now = s.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	var later []sentOrder
	for _, o := range s.inTransit {
		if o.arrivesAt.After(s.now) {
			later = append(later, o)
			continue
		}
		s.arrive(t, o)
	}
	s.inTransit = later
}

func (s *simulation) plan(t *rapid.T) {
	var replicas Replicas
	for _, e := range s.engines {
		replicas = append(replicas, e.Replica)
	}
	for _, o := range s.planner.Plan(s.now, s.needs, replicas) {
		if o.Action == ActionLoad {
			s.loadedMegabytes += 100
		}
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			continue
		}
		late := time.Duration(rapid.IntRange(0, 10).Draw(t, "late")) * time.Second
		s.inTransit = append(s.inTransit, sentOrder{o, s.token, s.now.Add(late)})
	}
}

// resumePaused delivers the order of the paused holder.
func (s *simulation) resumePaused(t *rapid.T) {
	if s.paused == nil || s.paused.token == 0 {
		t.Skip("none")
	}
	o := *s.paused
	s.paused.token = 0
	s.arrive(t, o)
}

func (s *simulation) arrive(t *rapid.T, o sentOrder) {
	i := slices.IndexFunc(s.engines, func(e *engine) bool { return e.ID == o.Replica })
	e := s.engines[i]
	if e.ChecksOrders && o.token < e.highestToken {
		return
	}
	e.highestToken = o.token
	at := slices.Index(e.actual, o.Artifact)
	switch {
	case o.Action == ActionLoad && at < 0 && len(e.actual) < e.Slots:
		e.actual = append(e.actual, o.Artifact)
	case o.Action == ActionUnload && at >= 0:
		e.actual = slices.Delete(e.actual, at, at+1)
		s.checkFloor(t, o)
	}
}

func (s *simulation) checkFloor(t *rapid.T, o sentOrder) {
	copies := 0
	for _, e := range s.engines {
		if e.holdsActual(o.Artifact.Model) {
			copies++
		}
	}
	for _, need := range s.needs {
		if need.Model == o.Artifact.Model {
			assert.Assert(t, copies >= need.MinCopies, "%s brought below MinCopies by %v", need.Model, o)
		}
	}
}

func (e *engine) holdsActual(m call.Model) bool {
	return slices.ContainsFunc(e.actual, func(a Artifact) bool { return a.Model == m })
}

func (s *simulation) report(t *rapid.T) {
	e := rapid.SampledFrom(s.engines).Draw(t, "engine")
	e.Loaded, e.Reported = slices.Clone(e.actual), s.now
}

func (s *simulation) check(t *rapid.T) {
	allowed := 20*s.now.Sub(begin).Seconds() + 1
	assert.Assert(t, float64(s.loadedMegabytes) <= allowed, "loaded %d MB, allowed %.0f", s.loadedMegabytes, allowed)
}

// No order takes a model below MinCopies and the loads keep to the weight store's
// rate, whichever orders are lost or late and whichever VM holds the lease.
func TestPlannerStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": s.advance, "plan": s.plan, "plan again": s.plan, "report": s.report, "report again": s.report,
			"report more": s.report, "fence": s.fence, "fence again": s.fence, "take over": s.takeOver,
			"wake": s.resumePaused, "": s.check,
		})
	})
}

// When every order takes effect, the planner soon has no more orders to give, and
// the most urgent model has a copy.
func TestPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := newSimulation(t)
		for i := range s.needs[1:] {
			s.needs[i+1].MinCopies = 0
		}
		emptyPlans := 0
		for range 200 {
			s.now = s.now.Add(testTTL + 2*testOrderTimeout)
			s.fence(t)
			for _, e := range s.engines {
				e.Loaded, e.Reported = slices.Clone(e.actual), s.now.Add(time.Millisecond)
			}
			var replicas Replicas
			for _, e := range s.engines {
				replicas = append(replicas, e.Replica)
			}
			orders := s.planner.Plan(s.now, s.needs, replicas)
			for _, o := range orders {
				s.arrive(t, sentOrder{o, s.token, s.now})
			}
			if len(orders) == 0 {
				emptyPlans++
			}
		}
		assert.Assert(t, emptyPlans > 150, "orders in %d of 200 plans", 200-emptyPlans)
		assert.Assert(t, s.copies(0) > 0, "the most urgent model has no copy")
	})
}

func (s *simulation) copies(need int) int {
	n := 0
	for _, e := range s.engines {
		if e.holdsActual(s.needs[need].Model) {
			n++
		}
	}
	return n
}
