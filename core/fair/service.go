package fair

import (
	"math"
	"time"

	"gentianwell/core/call"
)

const (
	// maxTeams limits the teams that are measured for one service.
	maxTeams = 16_384
	// minWork is the sum below which a team is dropped; a request is at least 1.
	minWork = 0.01
	// smoothing is the weight of an exchange in the figures for decisions. Exchanges come several a
	// round, and a lower weight keeps one VM's last requests from deciding.
	smoothing = 0.1
	// turnedSmoothing is higher, so that a shortage ends soon: with smoothing, refusals went on for
	// over 4 s after the routers had room again.
	turnedSmoothing = 0.5
	// ownInterval is the time between two computations of the shares from a VM's own measurements.
	ownInterval = 100 * time.Millisecond
	// ownRequests is the number of requests that a team is granted in any case where only this VM's
	// counts are known: with fewer, the counts say nothing about the team's load.
	ownRequests = 4
	// measureError is how far a team's measured work may exceed its share before it counts as above
	// it: the averages of single VMs differ from the fleet's, and no team within its share may be
	// refused.
	measureError = 0.25
	// ownNoise is how far, in requests, this VM's own requests may raise a team's measured work for a
	// moment: each leaves about smoothing in it, and two often come together.
	ownNoise = 2 * smoothing
	// throttleRise says how soon the throttle has its full effect on a team above its share.
	throttleRise = 4
	// capacityHold is the time constant with which the capacity follows a loss of replicas.
	capacityHold = 2 * time.Second
	// minTurned is the ratio of turned away to granted work from which the fleet counts as short of capacity. While
	// it is short, the routers turn away about Config.Headroom, ten times as much.
	minTurned = 0.005
	// throttleGain lets a VM with ten admitted requests a second follow within half a second while
	// half of them find no room, and recover by a quarter in a second. minThrottle makes up for a load
	// of five times the measured one, and keeps a loud team from getting nothing.
	throttleGain, minThrottle, maxThrottle = 0.5, 0.2, 1.5
	// meanWeight is the weight of a request in the moving average of the work of one.
	meanWeight = 0.05
)

// service holds the state of one service.
type service struct {
	teams map[call.Team]*team
	// shortAt is when this VM's router last reported that it had no room. turned measures, as asked
	// work, the requests for which the routers of all VMs had none: one VM sees too few of them.
	shortAt time.Time
	turned  team
	// fleetShort is true if the routers of all VMs turn away more than minTurned.
	fleetShort bool
	// heardAt is the last exchange with another VM, computedAt the last computation of level.
	heardAt, computedAt time.Time
	level               float64
	// capacity is the greatest granted work of the last seconds. Shares are a small difference of
	// large sums: a momentary low would refuse requests of teams within their share, while throttle
	// makes up for a value that is too high.
	capacity meter
	meanWork float64
	// throttle is between minThrottle and 1. It lowers the shares of the teams that ask for more than
	// theirs until the router has no room for Config.Headroom of what is admitted on this VM: this
	// makes up for measurements that lag behind the load.
	throttle float64
	scratch  []float64
}

func (s *service) team(name call.Team) *team {
	t := s.teams[name]
	if t == nil && len(s.teams) < maxTeams {
		t = &team{}
		s.teams[name] = t
	}
	return t
}

func (s *service) short(now time.Time, c *Config) bool {
	if !s.shortAt.IsZero() && now.Sub(s.shortAt) < c.ShortFor {
		return true
	}
	return s.fleetShort && s.basis(now, c) == BasisFleet
}

// basis says whether the averages over the VMs are young enough.
func (s *service) basis(now time.Time, c *Config) Basis {
	if s.heardAt.IsZero() || now.Sub(s.heardAt) > c.GossipMaxAge {
		return BasisOwn
	}
	return BasisFleet
}

// compute sets the level from the teams' figures, which move towards their averages by a weight.
func (s *service) compute(now time.Time, c *Config, weight float64) {
	s.computedAt = now
	s.scratch = s.scratch[:0]
	capacity := 0.0
	s.turned.fold(now, c.TimeConstant)
	s.turned.smooth(max(weight, turnedSmoothing))
	for name, t := range s.teams {
		t.fold(now, c.TimeConstant)
		t.smooth(weight)
		if t.asked.value < minWork && t.useAsked < minWork && t.ownAsked.read(now, c.TimeConstant) < minWork {
			delete(s.teams, name)
			continue
		}
		capacity += t.useGranted
		s.scratch = append(s.scratch, t.useAsked)
	}
	s.capacity.set(now, max(capacity, s.capacity.read(now, capacityHold)))
	s.fleetShort = s.turned.useAsked > minTurned*capacity
	s.level = math.Inf(1)
	if len(s.scratch) > 1 && capacity > 0 {
		// A single team takes nothing from another one.
		s.level = level(s.capacity.value*(1+c.Headroom), s.scratch)
	}
}

// observe adjusts throttle after the router had room for an admitted request, or had none. At the target,
// the expected change is zero.
func (s *service) observe(c *Config, room bool) {
	change := c.Headroom
	if !room {
		change -= 1
	}
	s.throttle = min(max(minThrottle, s.throttle*math.Exp(throttleGain*change)), maxThrottle)
}

// refresh computes the level from this VM's own measurements if others' are too old.
func (s *service) refresh(now time.Time, c *Config) {
	if s.basis(now, c) == BasisFleet || now.Sub(s.computedAt) < ownInterval {
		return
	}
	s.compute(now, c, 1)
	s.level = max(s.level, ownRequests*s.meanWork)
}
