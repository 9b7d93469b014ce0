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

// Constants of a run.
const (
	reportInterval = 250 * time.Millisecond
	tickInterval   = 20 * time.Millisecond
	// crashDowntime is the time from an engine's crash until it takes requests again.
	crashDowntime = 8 * time.Second
	// drainTime is how long ticks and reports go on after the last arrival.
	drainTime = 4 * time.Minute
	// warmUp is the time from the start within which arriving requests are not counted.
	warmUp = 5 * time.Second
	// capacityFraction is the fraction of the engines' highest token rate that counts as
	// their capacity; the rest is needed for prefill.
	capacityFraction = 0.85
)

// DefaultExtraFraction is the default of RunConfig.ExtraFraction.
const DefaultExtraFraction = 0.25

// RunConfig configures a run.
type RunConfig struct {
	Workload Workload
	Site     Site
	Policy   Policy
	Seed     uint64
	// ExtraFraction is the number of requests of tier 0 that an engine may get beyond a
	// full batch, as a fraction of the slots. Preempts is true for engines that preempt
	// running requests of lower tiers for them.
	ExtraFraction float64
	Preempts      bool
	// ReservedFraction is the fraction of a batch that is reserved for tier 0.
	ReservedFraction float64
	// TokenGap is the target for the time between tokens to which the batch is adapted;
	// zero means that of estim.WindowDefaults.
	TokenGap time.Duration
}

// loadReport is the load that an engine has reported.
type loadReport route.Load

// policyRun is the state of one run.
type policyRun struct {
	config  RunConfig
	clock   *clock
	rng     *rand.Rand
	engines []*engine
	byID    map[call.ReplicaID]*engine
	vms     []*vmPolicy
	classes Classes
	figures *Figures
	lastID  int
}

// Run simulates one workload with one policy.
//
// Errors: NotValid for an unknown policy.
func Run(c RunConfig) (*Figures, error) {
	run := &policyRun{config: c, clock: &clock{now: origin}, rng: rand.New(rand.NewPCG(c.Seed, 0)), classes: classes()}
	run.figures = &Figures{Policy: c.Policy, Workload: c.Workload.Name, Site: c.Site.Name, Seed: c.Seed}
	for _, class := range run.classes {
		run.figures.Classes = append(run.figures.Classes, ClassFigures{Class: class.Name, Tier: class.Tier, lastCompletion: origin.Add(warmUp)})
	}
	run.makeEngines()
	if err := run.makeVMs(); err != nil {
		return nil, errors.Trace(err)
	}
	run.schedule()
	run.clock.run()
	return run.figures, nil
}

func (run *policyRun) zone(i int) call.Zone {
	return call.Zone(fmt.Sprint("zone", i%run.config.Site.Zones))
}

func (run *policyRun) makeEngines() {
	run.byID = map[call.ReplicaID]*engine{}
	for i := range run.config.Site.Engines {
		e := &engine{
			id: call.ReplicaID(fmt.Sprint("r", i)), zone: run.zone(i), clock: run.clock, slowFactor: 1,
			byTier: run.config.Policy == PolicyTiers, figures: run.figures,
			preempts: run.config.Policy == PolicyTiers && run.config.Preempts,
		}
		run.engines = append(run.engines, e)
		run.byID[e.id] = e
	}
}

func (run *policyRun) engineByID(id call.ReplicaID) *engine { return run.byID[id] }

func (run *policyRun) replicas() route.Replicas {
	var list route.Replicas
	maxRequests := int(slots * (1 + run.config.ExtraFraction))
	for _, e := range run.engines {
		list = append(list, route.Replica{ID: e.id, Zone: e.zone, Models: []call.Model{modelName}, Slots: maxRequests})
	}
	return list
}

func (run *policyRun) makeVMs() error {
	for i := range run.config.Site.VMs {
		rng := rand.New(rand.NewPCG(run.config.Seed, uint64(i+1)))
		switch run.config.Policy {
		case PolicyTiers:
			vm, err := newTiersVM(run, call.VMID(fmt.Sprint("e", i)), run.zone(i), rng)
			if err != nil {
				return errors.Trace(err)
			}
			run.vms = append(run.vms, vm)
		case PolicyRoundRobin, PolicyLeastOutstanding, PolicyTwoChoices:
			run.vms = append(run.vms, newPlainVM(run, run.config.Policy, rng))
		default:
			return errors.NotValidf("policy %q (must be one of %q)", run.config.Policy, AllPolicies())
		}
	}
	return nil
}

// schedule schedules ticks, load reports, faults and the first arrival.
func (run *policyRun) schedule() {
	w := run.config.Workload
	end := origin.Add(w.Length)
	run.clock.every(tickInterval, end.Add(drainTime), func() {
		for _, v := range run.vms {
			v.tick()
		}
	})
	for _, e := range run.engines {
		run.clock.at(origin.Add(time.Duration(run.rng.Int64N(int64(reportInterval)))), func() {
			run.clock.every(reportInterval, end.Add(drainTime), func() { run.report(e) })
		})
	}
	run.scheduleFaults()
	run.scheduleArrival()
}

func (run *policyRun) report(e *engine) {
	if e.down {
		return
	}
	l := loadReport(e.load())
	run.clock.after(run.config.Workload.ReportLag, func() {
		for _, v := range run.vms {
			v.report(e, l)
		}
	})
}

func (run *policyRun) scheduleFaults() {
	w := run.config.Workload
	from, to := w.middle()
	for i := range int(math.Round(w.SlowedFraction * float64(len(run.engines)))) {
		e := run.engines[i]
		run.clock.at(origin.Add(from), func() { e.slowFactor = w.SlowFactor })
		run.clock.at(origin.Add(to), func() { e.slowFactor = 1 })
	}
	for i := range int(math.Round(w.CrashingFraction * float64(len(run.engines)))) {
		e := run.engines[len(run.engines)-1-i]
		at := from + time.Duration(run.rng.Int64N(int64(to-from)))
		run.clock.at(origin.Add(at), func() { e.crash(crashDowntime) })
	}
}

// capacity returns the number of requests per second that the engines can serve.
func (run *policyRun) capacity() float64 {
	step := stepBase + slots*stepPerRequest
	tokens := float64(len(run.engines)) * slots / step.Seconds() * capacityFraction
	mean, weight := 0.0, 0.0
	for _, c := range run.classes {
		mean += c.Weight * float64(c.AnswerTokens)
		weight += c.Weight
	}
	return tokens / (mean / weight)
}

// scheduleArrival schedules the next request of a Poisson process.
func (run *policyRun) scheduleArrival() {
	since := run.clock.now.Sub(origin)
	if since >= run.config.Workload.Length {
		return
	}
	rate := run.capacity() * run.config.Workload.load(since)
	gap := time.Duration(run.rng.ExpFloat64() / rate * float64(time.Second))
	run.clock.after(gap, func() {
		run.offer(run.newRequest())
		run.scheduleArrival()
	})
}

// offer sends a request to a random VM.
func (run *policyRun) offer(r *request) {
	v := run.vms[run.rng.IntN(len(run.vms))]
	run.clock.at(r.arrived.Add(r.class.Patience), func() { run.abandon(v, r) })
	v.offer(r)
}

// abandon ends a request whose caller has given up, unless it has ended before.
func (run *policyRun) abandon(v *vmPolicy, r *request) {
	switch r.state {
	case stateWaiting:
		v.abandoned(r)
		run.finish(r, stateAbandoned)
	case stateSent:
		r.engine.cancel(r)
		run.finish(r, stateAbandoned)
		r.onEnd(r, false)
	}
}

// finish records how a request ended.
func (run *policyRun) finish(r *request, s requestState) {
	r.state = s
	if r.arrived.Sub(origin) >= warmUp {
		run.figures.record(r, run.clock.now, origin.Add(run.config.Workload.Length))
	}
}
