package model

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// The runs' intervals.
const (
	reportEvery = 250 * time.Millisecond
	tickEvery   = 20 * time.Millisecond
	crashBack   = 8 * time.Second
	// drainTime is how long the run goes on after the last arrival.
	drainTime = 4 * time.Minute
	// warmUp is not counted.
	warmUp = 5 * time.Second
	// capacityPart is the part of the engines' greatest pace that counts as their
	// capacity; the rest goes to prefill.
	capacityPart = 0.85
)

// DefaultExtraFraction is the default of RunConfig.Extra.
const DefaultExtraFraction = 0.25

// RunConfig configures a run.
type RunConfig struct {
	Workload Workload
	Site     Site
	Policy   Policy
	Seed     uint64
	// ExtraFraction is how many requests of tier 0, as a part of the slots, an engine may
	// get on top of a full batch. Preempts is true for engines that pause running
	// requests of lower tiers for them.
	ExtraFraction    float64
	Preempts bool
	// ReservedFraction is the part of a batch that is kept free for tier 0.
	ReservedFraction float64
	// TokenGap is the time between tokens that the batch is learnt for; zero takes
	// the letter's target.
	TokenGap time.Duration
}

// loadReport is a load report on its way.
type loadReport route.Load

// bench is one run.
type bench struct {
	config  RunConfig
	clock   *clock
	rng     *rand.Rand
	engines []*engine
	byID    map[call.ReplicaID]*engine
	entries []*entry
	classes Classes
	figures *Figures
	next    int
}

// Run runs one workload with one policy.
//
// Errors: NotValid for an unknown policy.
func Run(c RunConfig) (*Figures, error) {
	b := &bench{config: c, clock: &clock{now: origin}, rng: rand.New(rand.NewPCG(c.Seed, 0)), classes: classes()}
	b.figures = &Figures{Policy: c.Policy, Workload: c.Workload.Name, Site: c.Site.Name, Seed: c.Seed}
	for _, class := range b.classes {
		b.figures.Classes = append(b.figures.Classes, ClassFigures{Class: class.Name, Tier: class.Tier, last: origin.Add(warmUp)})
	}
	b.makeEngines()
	if err := b.makeEntries(); err != nil {
		return nil, errors.Trace(err)
	}
	b.plan()
	b.clock.run()
	return b.figures, nil
}

func (b *bench) zone(i int) call.Zone { return call.Zone(fmt.Sprint("zone", i%b.config.Site.Zones)) }

func (b *bench) makeEngines() {
	b.byID = map[call.ReplicaID]*engine{}
	for i := range b.config.Site.Engines {
		e := &engine{
			id: call.ReplicaID(fmt.Sprint("r", i)), zone: b.zone(i), clock: b.clock, slow: 1,
			byTier: b.config.Policy == PolicyTiers, figures: b.figures,
			preempts: b.config.Policy == PolicyTiers && b.config.Preempts,
		}
		b.engines = append(b.engines, e)
		b.byID[e.id] = e
	}
}

func (b *bench) engineByID(id call.ReplicaID) *engine { return b.byID[id] }

func (b *bench) replicas() route.Replicas {
	var list route.Replicas
	places := int(slots * (1 + b.config.ExtraFraction))
	for _, e := range b.engines {
		list = append(list, route.Replica{ID: e.id, Zone: e.zone, Models: []call.Model{modelName}, Slots: places})
	}
	return list
}

func (b *bench) makeEntries() error {
	for i := range b.config.Site.VMs {
		rng := rand.New(rand.NewPCG(b.config.Seed, uint64(i+1)))
		switch b.config.Policy {
		case PolicyTiers:
			e, err := newTiers(b, call.VMID(fmt.Sprint("e", i)), b.zone(i), rng)
			if err != nil {
				return errors.Trace(err)
			}
			b.entries = append(b.entries, e)
		case PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices:
			b.entries = append(b.entries, newPlain(b, b.config.Policy, rng))
		default:
			return errors.NotValidf("policy %q", b.config.Policy)
		}
	}
	return nil
}

// plan puts arrivals, reports and faults on the clock.
func (b *bench) plan() {
	w := b.config.Workload
	end := origin.Add(w.Length)
	b.clock.every(tickEvery, end.Add(drainTime), func() {
		for _, v := range b.entries {
			v.tick()
		}
	})
	for _, e := range b.engines {
		b.clock.at(origin.Add(time.Duration(b.rng.Int64N(int64(reportEvery)))), func() {
			b.clock.every(reportEvery, end.Add(drainTime), func() { b.report(e) })
		})
	}
	b.faults()
	b.arrive()
}

func (b *bench) report(e *engine) {
	if e.down {
		return
	}
	l := loadReport(e.load())
	b.clock.after(b.config.Workload.ReportLag, func() {
		for _, v := range b.entries {
			v.report(e, l)
		}
	})
}

func (b *bench) faults() {
	w := b.config.Workload
	from, to := w.middle()
	for i := range int(math.Round(w.SlowedFraction * float64(len(b.engines)))) {
		e := b.engines[i]
		b.clock.at(origin.Add(from), func() { e.slow = w.SlowFactor })
		b.clock.at(origin.Add(to), func() { e.slow = 1 })
	}
	for i := range int(math.Round(w.CrashingFraction * float64(len(b.engines)))) {
		e := b.engines[len(b.engines)-1-i]
		at := from + time.Duration(b.rng.Int64N(int64(to-from)))
		b.clock.at(origin.Add(at), func() { e.crash(crashBack) })
	}
}

// capacity is the number of requests a second that the engines can serve.
func (b *bench) capacity() float64 {
	step := stepBase + slots*stepEach
	tokens := float64(len(b.engines)) * slots / step.Seconds() * capacityPart
	mean, weight := 0.0, 0.0
	for _, c := range b.classes {
		mean += c.Weight * float64(c.AnswerTokens)
		weight += c.Weight
	}
	return tokens / (mean / weight)
}

// arrive lets requests arrive in a Poisson process.
func (b *bench) arrive() {
	since := b.clock.now.Sub(origin)
	if since >= b.config.Workload.Length {
		return
	}
	rate := b.capacity() * b.config.Workload.load(since)
	gap := time.Duration(b.rng.ExpFloat64() / rate * float64(time.Second))
	b.clock.after(gap, func() {
		b.offer(b.newRequest())
		b.arrive()
	})
}

func (b *bench) offer(r *request) {
	v := b.entries[b.rng.IntN(len(b.entries))]
	b.clock.at(r.arrived.Add(r.class.Patience), func() { b.leave(v, r) })
	v.offer(r)
}

// leave takes out a request whose caller's patience has ended.
func (b *bench) leave(v *entry, r *request) {
	switch r.state {
	case stateWaiting:
		v.left(r)
		b.end(r, stateLeft)
	case stateSent:
		r.engine.cancel(r)
		b.end(r, stateLeft)
		r.onEnd(r, false)
	}
}

// end notes how a request ended.
func (b *bench) end(r *request, s requestState) {
	r.state = s
	if r.arrived.Sub(origin) >= warmUp {
		b.figures.count(r, b.clock.now, origin.Add(b.config.Workload.Length))
	}
}
