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

// VMConfig is how entry VMs pass calls on; its zero fields are what they do.
type VMConfig struct {
	// Router is the configuration of each VM's router, but for Self, Zone and Rand.
	Router route.Config
	// StreamWaitFraction is how long a call waits for a place, as a part of its target.
	StreamWaitFraction float64
	// NoDemandGossip VMs do not tell each other of the demand.
	NoDemandGossip bool
	// Plain VMs choose the less loaded of two replicas for each call, without lanes
	// or homes of prefixes.
	Plain bool
}

// played is a deployment in play.
type played struct {
	d       Deployment
	passing VMConfig
	clock   *clock
	rng     *rand.Rand
	vms     []*passer
	engines map[call.ReplicaID]*batch
	totals  *Totals
}

// SimulateDeployment plays a deployment in simulated time. The same seed gives the same outcome.
//
// Errors: a configuration of the router that is not valid.
func SimulateDeployment(d Deployment, passing VMConfig, seed uint64) (*Totals, error) {
	if passing.StreamWaitFraction == 0 {
		passing.StreamWaitFraction = defaultWait
	}
	if passing.Plain {
		passing.Router.HomeTokens = math.MaxInt
	}
	p := &played{
		d: d, passing: passing, clock: &clock{now: origin}, rng: rand.New(rand.NewPCG(seed, 1)),
		engines: map[call.ReplicaID]*batch{}, totals: &Totals{Kinds: map[call.Class]*KindTotals{}},
	}
	list := p.makeEngines()
	for i := range d.VMs {
		c := passing.Router
		c.Self, c.Zone, c.Rand = call.VMID(fmt.Sprint("vm-", i)), p.zone(i), rand.New(rand.NewPCG(seed, uint64(i)+2))
		router, err := route.New(c)
		if err != nil {
			return nil, errors.Annotate(err, "Play")
		}
		router.SetVMs(d.VMs)
		router.SetReplicas(p.clock.now, list)
		v := &passer{p: p, router: router}
		p.vms = append(p.vms, v)
		p.clock.after(time.Duration(p.rng.Int64N(int64(gossipEvery))), func() {
			p.clock.every(gossipEvery, origin.Add(d.Length), v.gossip)
		})
	}
	for i := range d.Kinds {
		p.totals.Kinds[d.Kinds[i].Name] = &KindTotals{}
		p.arrive(&d.Kinds[i])
	}
	p.clock.run()
	return p.totals, nil
}

func (p *played) zone(i int) call.Zone { return call.Zone(fmt.Sprint("zone-", i%p.d.Zones)) }

func (p *played) makeEngines() route.Replicas {
	var list route.Replicas
	readOnce := map[uint64]time.Time{}
	for i := range p.d.Engines {
		b := &batch{
			id: call.ReplicaID(fmt.Sprintf("engine-%03d", i)), zone: p.zone(i), pace: p.d.Engine, speed: 1, clock: p.clock,
			kept: map[uint64]*keptPart{}, readOnce: readOnce, totals: p.totals,
		}
		if n := len(p.d.Engine.TimeFactors); n > 0 {
			b.speed = p.d.Engine.TimeFactors[i%n]
		}
		b.note()
		p.engines[b.id] = b
		list = append(list, route.Replica{ID: b.id, Zone: b.zone, Models: []call.Model{modelName}, Slots: p.d.Engine.Slots})
	}
	return list
}

// arrive draws the next call of a kind.
func (p *played) arrive(k *Kind) {
	rate := k.Rate
	since := p.clock.now.Sub(origin)
	for _, b := range p.d.Bursts {
		if (b.Kind == "" || b.Kind == k.Name) && since >= b.At && since < b.At+b.For {
			rate *= b.Factor
		}
	}
	gap := time.Duration(p.rng.ExpFloat64() / rate * float64(time.Second))
	p.clock.after(min(gap, 200*time.Millisecond), func() {
		if p.clock.now.Sub(origin) > p.d.Length {
			return
		}
		if gap <= 200*time.Millisecond {
			p.ask(k)
		}
		p.arrive(k)
	})
}

func (p *played) draw(s LogNormal) float64 {
	sigma := math.Sqrt(math.Log(1 + s.CoefficientOfVariation*s.CoefficientOfVariation))
	return min(s.Max, s.Mean*math.Exp(sigma*p.rng.NormFloat64()-sigma*sigma/2))
}

// ask is a new call of a caller.
func (p *played) ask(k *Kind) {
	a := &ask{kind: k, asked: p.clock.now, events: max(1, int(math.Round(p.draw(k.Events))))}
	shared := 0
	for i, one := range k.Parts {
		id := uint64(i)<<32 + uint64(p.rng.IntN(one.Count)) + uint64(len(k.Name))<<40
		// The length belongs to the part.
		sized := rand.New(rand.NewPCG(id, 9))
		sigma := math.Sqrt(math.Log(1 + one.Tokens.CoefficientOfVariation*one.Tokens.CoefficientOfVariation))
		tokens := max(1, int(min(one.Tokens.Max, one.Tokens.Mean*math.Exp(sigma*sized.NormFloat64()-sigma*sigma/2))))
		a.parts = append(a.parts, part{id: id, tokens: tokens})
		shared += tokens
		a.call.Prefixes = append(a.call.Prefixes, id)
	}
	own := max(1, int(p.draw(k.OwnTokens)))
	a.memory = own + a.events*p.d.Engine.TokensPerEvent
	a.call.Model, a.call.Class, a.call.Tier = modelName, k.Name, k.Tier
	a.call.SharedTokens, a.call.PromptTokens = shared, shared+own
	var sharedMean float64
	for _, one := range k.Parts {
		sharedMean += one.Tokens.Mean
	}
	mean := sharedMean + k.OwnTokens.Mean + 10*k.Events.Mean*float64(p.d.Engine.TokensPerEvent)
	a.size = min(4, 0.3+0.7*(float64(a.call.PromptTokens)+10*float64(a.events*p.d.Engine.TokensPerEvent))/mean)
	t := p.totals.Kinds[k.Name]
	t.Offered++
	t.PossibleWorth += a.size * k.Worth
	p.enter(a)
}

// enter hands a call to a VM, as a load balancer does.
func (p *played) enter(a *ask) {
	v := p.vms[p.rng.IntN(len(p.vms))]
	now := p.clock.now
	if !v.p.passing.Plain {
		v.router.Arrived(now, a.call)
	}
	v.place(a, now.Add(time.Duration(p.passing.StreamWaitFraction*float64(a.kind.FirstEventTarget))), passingSends, nil)
}
