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

// engine is what a replica really holds, beside what it last reported.
type engine struct {
	Replica
	actual []Artifact
	fence  int
}

// flight is an order on its way.
type flight struct {
	Order
	fencing int
	arrives time.Time
}

// world runs a planner against engines whose reports lag, while orders are lost
// or late and holders change.
type world struct {
	now     time.Time
	needs   Needs
	engines []*engine
	planner *Planner
	fencing int
	taken   time.Time
	flights []flight
	stale   *flight
	loaded  int
}

func newWorld(t *rapid.T) *world {
	w := &world{now: begin}
	for i := range rapid.IntRange(1, 4).Draw(t, "models") {
		w.needs = append(w.needs, Need{
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
		w.engines = append(w.engines, e)
	}
	w.takeOver(nil)
	return w
}

// takeOver replaces the holder. One order of the old one may be stale: it
// arrives at any time later, as after a pause between check and write.
func (w *world) takeOver(*rapid.T) {
	if i := slices.IndexFunc(w.flights, func(f flight) bool { return f.fencing > 0 }); w.stale == nil && i >= 0 {
		w.stale = &w.flights[i]
		w.flights = slices.Delete(slices.Clone(w.flights), i, i+1)
	}
	w.fencing++
	w.taken = w.now
	w.planner = NewPlanner(Config{Rate: 20, Burst: 1000, OrderTimeout: testOrderTimeout})
	for _, e := range w.engines {
		e.EarlierOrdersEnded = time.Time{}
	}
}

// fence gives the new holder's number to an engine that checks, and waits out
// the old holder's orders for one that doesn't.
func (w *world) fence(*rapid.T) {
	for _, e := range w.engines {
		settled := w.taken.Add(testTTL + testOrderTimeout)
		switch {
		case !e.EarlierOrdersEnded.IsZero():
		case e.ChecksOrders:
			e.fence, e.EarlierOrdersEnded = w.fencing, w.now
		case w.now.After(settled):
			e.EarlierOrdersEnded = w.now
		}
		e.OrdersAllowed = !e.EarlierOrdersEnded.IsZero()
	}
}

func (w *world) pass(t *rapid.T) {
	w.now = w.now.Add(time.Duration(rapid.IntRange(1, 40).Draw(t, "seconds")) * time.Second)
	var rest []flight
	for _, f := range w.flights {
		if f.arrives.After(w.now) {
			rest = append(rest, f)
			continue
		}
		w.arrive(t, f)
	}
	w.flights = rest
}

func (w *world) plan(t *rapid.T) {
	var replicas Replicas
	for _, e := range w.engines {
		replicas = append(replicas, e.Replica)
	}
	for _, o := range w.planner.Plan(w.now, w.needs, replicas) {
		if o.Action == ActionLoad {
			w.loaded += 100
		}
		if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
			continue
		}
		late := time.Duration(rapid.IntRange(0, 10).Draw(t, "late")) * time.Second
		w.flights = append(w.flights, flight{o, w.fencing, w.now.Add(late)})
	}
}

// wake lets the paused holder's order arrive.
func (w *world) wake(t *rapid.T) {
	if w.stale == nil || w.stale.fencing == 0 {
		t.Skip("none")
	}
	f := *w.stale
	w.stale.fencing = 0
	w.arrive(t, f)
}

func (w *world) arrive(t *rapid.T, f flight) {
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.ID == f.Replica })
	e := w.engines[i]
	if e.ChecksOrders && f.fencing < e.fence {
		return
	}
	e.fence = f.fencing
	at := slices.Index(e.actual, f.Artifact)
	switch {
	case f.Action == ActionLoad && at < 0 && len(e.actual) < e.Slots:
		e.actual = append(e.actual, f.Artifact)
	case f.Action == ActionUnload && at >= 0:
		e.actual = slices.Delete(e.actual, at, at+1)
		w.checkFloor(t, f)
	}
}

func (w *world) checkFloor(t *rapid.T, f flight) {
	copies := 0
	for _, e := range w.engines {
		if e.holdsActual(f.Artifact.Model) {
			copies++
		}
	}
	for _, need := range w.needs {
		if need.Model == f.Artifact.Model {
			assert.Assert(t, copies >= need.MinCopies, "%s drained by %v", need.Model, f)
		}
	}
}

func (e *engine) holdsActual(m call.Model) bool {
	return slices.ContainsFunc(e.actual, func(a Artifact) bool { return a.Model == m })
}

func (w *world) report(t *rapid.T) {
	e := rapid.SampledFrom(w.engines).Draw(t, "engine")
	e.Loaded, e.Reported = slices.Clone(e.actual), w.now
}

func (w *world) check(t *rapid.T) {
	allowed := 20*w.now.Sub(begin).Seconds() + 1
	assert.Assert(t, float64(w.loaded) <= allowed, "%d MB, allowed %.0f", w.loaded, allowed)
}

// Whatever is lost or late, and whoever holds the lease: no order brings a model
// below its floor, and the weight store's rate is kept.
func TestPlannerMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		t.Repeat(map[string]func(*rapid.T){
			"pass": w.pass, "plan": w.plan, "plan again": w.plan, "report": w.report, "report again": w.report,
			"report more": w.report, "fence": w.fence, "fence again": w.fence, "take over": w.takeOver,
			"wake": w.wake, "": w.check,
		})
	})
}

// With sound engines the plan comes to rest, with the copies that fit.
func TestPlannerSettles(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t)
		for i := range w.needs[1:] {
			w.needs[i+1].MinCopies = 0
		}
		rest := 0
		for range 200 {
			w.now = w.now.Add(testTTL + 2*testOrderTimeout)
			w.fence(t)
			for _, e := range w.engines {
				e.Loaded, e.Reported = slices.Clone(e.actual), w.now.Add(time.Millisecond)
			}
			var replicas Replicas
			for _, e := range w.engines {
				replicas = append(replicas, e.Replica)
			}
			orders := w.planner.Plan(w.now, w.needs, replicas)
			for _, o := range orders {
				w.arrive(t, flight{o, w.fencing, w.now})
			}
			if len(orders) == 0 {
				rest++
			}
		}
		assert.Assert(t, rest > 150, "orders in %d of 200 plans", 200-rest)
		assert.Assert(t, w.holds(0) > 0, "the most urgent model has no copy")
	})
}

func (w *world) holds(need int) int {
	n := 0
	for _, e := range w.engines {
		if e.holdsActual(w.needs[need].Model) {
			n++
		}
	}
	return n
}
