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

// VMConfig configures the entry VMs of a simulation. Apart from Router, zero fields
// stand for what the real VMs do.
type VMConfig struct {
	// Router configures each VM's router. Self, Zone and Rand are set for each VM.
	Router route.Config
	// StreamWaitFraction is the longest time that a call waits for a replica with
	// capacity, as a fraction of its FirstEventTarget. Zero means the default of
	// io/proxy.
	StreamWaitFraction float64
	// NoDemandGossip disables the exchange of demands between VMs; load reports are
	// still exchanged.
	NoDemandGossip bool
	// Plain makes the VMs choose the less loaded of two replicas for each call,
	// without lanes and without home replicas for prefixes. It is the baseline.
	Plain bool
}

// simulation is the state of one simulated deployment.
type simulation struct {
	deployment Deployment
	config     VMConfig
	clock      *clock
	rng        *rand.Rand
	vms        []*entryVM
	engines    map[call.ReplicaID]*chunkedEngine
	totals     *Totals
	// sends counts the sends to each engine since sendsFrom, for Totals.Peak.
	sends     map[call.ReplicaID]int
	sendsFrom time.Time
}

// SimulateDeployment simulates a deployment in simulated time. The same seed gives the
// same outcome.
//
// Errors: those of route.New if the router's configuration is not valid.
func SimulateDeployment(d Deployment, vmConfig VMConfig, seed uint64) (*Totals, error) {
	if vmConfig.StreamWaitFraction == 0 {
		vmConfig.StreamWaitFraction = defaultStreamWaitFraction
	}
	if vmConfig.Plain {
		vmConfig.Router.HomeTokens, vmConfig.Router.IgnoreSpeeds = math.MaxInt, true
	}
	s := &simulation{
		deployment: d, config: vmConfig, clock: &clock{now: origin}, rng: rand.New(rand.NewPCG(seed, 1)),
		engines: map[call.ReplicaID]*chunkedEngine{}, totals: &Totals{Kinds: map[call.Class]*KindTotals{}},
	}
	list := s.makeEngines()
	for i := range d.VMs {
		c := vmConfig.Router
		c.Self, c.Zone, c.Rand = call.VMID(fmt.Sprint("vm-", i)), d.zone(i), rand.New(rand.NewPCG(seed, uint64(i)+2))
		router, err := route.New(c)
		if err != nil {
			return nil, errors.Annotate(err, "SimulateDeployment")
		}
		router.SetVMs(d.VMs)
		router.SetReplicas(s.clock.now, list)
		v := &entryVM{sim: s, router: router, index: i}
		s.vms = append(s.vms, v)
		s.clock.after(time.Duration(s.rng.Int64N(int64(gossipEvery))), func() {
			s.clock.every(gossipEvery, origin.Add(d.Length), v.gossip)
		})
	}
	for i := range d.Kinds {
		s.totals.Kinds[d.Kinds[i].Name] = &KindTotals{}
		s.scheduleArrival(&d.Kinds[i])
	}
	s.clock.run()
	return s.totals, nil
}

func (d *Deployment) zone(i int) call.Zone { return call.Zone(fmt.Sprint("zone-", i%d.Zones)) }

func (s *simulation) makeEngines() route.Replicas {
	var list route.Replicas
	lastRead := map[uint64]time.Time{}
	for i := range s.deployment.Engines {
		e := &chunkedEngine{
			id: call.ReplicaID(fmt.Sprintf("engine-%03d", i)), zone: s.deployment.zone(i), spec: s.deployment.Engine, timeFactor: 1, noise: 1, clock: s.clock,
			cache: map[uint64]*cachedPart{}, lastRead: lastRead, totals: s.totals,
		}
		if n := len(s.deployment.Engine.TimeFactors); n > 0 {
			e.timeFactor = s.deployment.Engine.TimeFactors[i%n]
		}
		e.recordLoad()
		if e.spec.Noise.Fraction > 0 {
			s.scheduleNoise(e)
		}
		s.engines[e.id] = e
		list = append(list, route.Replica{ID: e.id, Zone: e.zone, Models: []call.Model{modelName}, Slots: s.deployment.Engine.Slots})
	}
	return list
}

// scheduleNoise schedules the next change of an engine's noise.
func (s *simulation) scheduleNoise(e *chunkedEngine) {
	n := e.spec.Noise
	mean := float64(n.MeanLength)
	if e.noise == 1 {
		mean *= (1 - n.Fraction) / n.Fraction
	}
	s.clock.after(time.Duration(s.rng.ExpFloat64()*mean), func() {
		if s.clock.now.Sub(origin) > s.deployment.Length+drainTime {
			return
		}
		if e.noise == 1 {
			e.noise = n.Factor
		} else {
			e.noise = 1
		}
		s.scheduleNoise(e)
	})
}

// scheduleArrival schedules the next call of a kind, in a Poisson process. A gap of
// more than 200 ms is drawn again after 200 ms, with the rate of that time.
func (s *simulation) scheduleArrival(k *Kind) {
	rate := k.Rate
	since := s.clock.now.Sub(origin)
	for _, burst := range s.deployment.Bursts {
		if (burst.Kind == "" || burst.Kind == k.Name) && since >= burst.At && since < burst.At+burst.For {
			rate *= burst.Factor
		}
	}
	gap := time.Duration(s.rng.ExpFloat64() / rate * float64(time.Second))
	s.clock.after(min(gap, 200*time.Millisecond), func() {
		if s.clock.now.Sub(origin) > s.deployment.Length {
			return
		}
		if gap <= 200*time.Millisecond {
			s.sendNew(k)
		}
		s.scheduleArrival(k)
	})
}

// draw draws a length from the distribution.
func (s *simulation) draw(l LogNormal) float64 {
	sigma := math.Sqrt(math.Log(1 + l.CoefficientOfVariation*l.CoefficientOfVariation))
	return min(l.Max, l.Mean*math.Exp(sigma*s.rng.NormFloat64()-sigma*sigma/2))
}

// sendNew draws a new call of a kind and sends it to a VM.
func (s *simulation) sendNew(k *Kind) {
	c := &simulatedCall{kind: k, firstSent: s.clock.now, answerEvents: max(1, int(math.Round(s.draw(k.Events))))}
	shared := 0
	for i, part := range k.Parts {
		id := uint64(i)<<32 + uint64(s.rng.IntN(part.Count)) + uint64(len(k.Name))<<40
		// The length is drawn with a seed from the id: it is the same in each call.
		lengthRNG := rand.New(rand.NewPCG(id, 9))
		sigma := math.Sqrt(math.Log(1 + part.Tokens.CoefficientOfVariation*part.Tokens.CoefficientOfVariation))
		tokens := max(1, int(min(part.Tokens.Max, part.Tokens.Mean*math.Exp(sigma*lengthRNG.NormFloat64()-sigma*sigma/2))))
		c.parts = append(c.parts, promptPart{id: id, tokens: tokens})
		shared += tokens
		c.call.Prefixes = append(c.call.Prefixes, id)
	}
	own := max(1, int(s.draw(k.OwnTokens)))
	c.ownTokens = own + c.answerEvents*s.deployment.Engine.TokensPerEvent
	c.call.Model, c.call.Class, c.call.Tier = modelName, k.Name, k.Tier
	c.call.LatencyTarget, c.call.GapTarget = k.FirstEventTarget, k.MaxPause
	c.call.SharedTokens, c.call.PromptTokens = shared, shared+own
	var sharedMean float64
	for _, part := range k.Parts {
		sharedMean += part.Tokens.Mean
	}
	mean := sharedMean + k.OwnTokens.Mean + 10*k.Events.Mean*float64(s.deployment.Engine.TokensPerEvent)
	c.worthFactor = min(4, 0.3+0.7*(float64(c.call.PromptTokens)+10*float64(c.answerEvents*s.deployment.Engine.TokensPerEvent))/mean)
	t := s.totals.Kinds[k.Name]
	t.Offered++
	t.PossibleWorth += c.worthFactor * k.Worth
	s.sendToVM(c)
}

// drawVM draws a VM, those of a zone at the peak of its wave more often.
func (s *simulation) drawVM() *entryVM {
	w := s.deployment.Wave
	for {
		i := s.rng.IntN(len(s.vms))
		if w.Swing == 0 {
			return s.vms[i]
		}
		zone := float64(i%s.deployment.Zones) / float64(s.deployment.Zones)
		phase := 2 * math.Pi * (s.clock.now.Sub(origin).Seconds()/w.Period.Seconds() + zone)
		if s.rng.Float64()*(1+w.Swing) < 1+w.Swing*math.Sin(phase) {
			return s.vms[i]
		}
	}
}

// sendToVM sends a call to a random VM, as a load balancer does.
func (s *simulation) sendToVM(c *simulatedCall) {
	v := s.drawVM()
	now := s.clock.now
	c.call.Arrived = c.firstSent
	if !v.sim.config.Plain {
		v.router.Arrived(now, c.call)
	}
	v.pick(c, now.Add(time.Duration(s.config.StreamWaitFraction*float64(c.kind.FirstEventTarget))), maxSends, nil)
}
