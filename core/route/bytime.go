package route

import (
	"math"
	"time"

	"gentianwell/core/call"
)

const (
	// likely is the probability to be in time from which a replica is not passed over.
	likely = 0.5
	// maxDraws limits the replicas that are drawn in each part to find Choices likely ones: of a
	// pool of which a third is too slow, six draws find two but once in 50 times.
	maxDraws = 6
	// loadShare is the least time that a full load per slot adds to the expected time, as a
	// fraction of the mean time to the first token. The time to the first token barely grows
	// with the load of an engine that reads prompts at once, but the time between tokens does,
	// and without it all calls would go to the fastest replicas.
	loadShare = 0.5
	// remoteLoad is the load per slot of the best replica of the own zone from which those of
	// other zones are considered, too: traffic between zones is expensive.
	remoteLoad = 0.2
	// unknownHomeAge is the age of the belief that the home of a prefix holds it, if this VM has
	// not sent it there itself. Others may have.
	unknownHomeAge = 10 * time.Second
)

// timed is a replica with the time that a call can expect there.
type timed struct {
	s      *state
	w      weighed
	score  time.Duration
	load   float64
	chance float64
	home   bool
	held   float64
	expect Expectation
}

// byTime is the choice by expected times.
type byTime struct {
	r    *Router
	now  time.Time
	c    *call.Call
	p    *pool
	f    *filtered
	lane lane

	first, gap *fit
	unit       float64
	left       time.Duration
	prefix     uint64
	belief     heldBy
	copies     int
	best       timed
	d          *Decision
}

// byTime chooses a replica by the expected times: a home of the call's prefix where the call is likely
// to be in time, else the best among a few random replicas, those that are believed to hold the prefix,
// and its homes.
func (r *Router) byTime(now time.Time, c call.Call, p *pool, exclude []call.ReplicaID, f *filtered, lane lane, d *Decision) timed {
	b := byTime{r: r, now: now, c: &c, p: p, f: f, lane: lane, first: &p.expect.first[lane.index()], gap: &p.expect.gap[lane.index()], left: c.LatencyTarget, d: d}
	b.unit = max(b.first.theta[2], loadShare*b.first.mean)
	if c.LatencyTarget > 0 && !c.Arrived.IsZero() {
		// Of a call that is late already nothing is known to be in time: the least cost decides.
		b.left = max(time.Millisecond, c.LatencyTarget-now.Sub(c.Arrived))
	}
	if n := len(c.Prefixes); n > 0 && c.SharedTokens > 0 {
		b.prefix = c.Prefixes[n-1]
		b.belief = p.held.get(b.prefix)
		b.copies = b.belief.copies(now)
	}
	if b.prefix != 0 && c.SharedTokens >= r.cfg.HomeTokens {
		b.considerHomes(exclude)
		if b.best.s != nil && b.best.chance >= likely {
			p.held.sent(now, b.prefix, b.best.s.idHash)
			return b.best
		}
	}
	if found := b.sample(f.local); found < r.cfg.Choices || b.best.load > remoteLoad {
		b.sample(f.remote)
	}
	if b.prefix != 0 {
		b.considerHolders()
		p.held.sent(now, b.prefix, b.best.s.idHash)
	}
	return b.best
}

// sample considers random replicas until Choices likely ones are found, and returns their number.
func (b *byTime) sample(part []*state) (found int) {
	for i := 0; i < min(maxDraws, len(part)) && found < b.r.cfg.Choices; i++ {
		j := i + b.r.cfg.Rand.IntN(len(part)-i)
		part[i], part[j] = part[j], part[i]
		age, holds := b.belief.age(b.now, part[i].idHash)
		t := b.timed(part[i], holds, age)
		if t.chance >= likely {
			found++
		}
		b.consider(t)
	}
	return found
}

// considerHolders considers the replicas that this VM has sent the prefix to.
func (b *byTime) considerHolders() {
	if b.copies == 0 {
		return
	}
	for _, part := range [2][]*state{b.f.local, b.f.remote} {
		for _, s := range part {
			if age, holds := b.belief.age(b.now, s.idHash); holds {
				b.consider(b.timed(s, true, age))
			}
		}
	}
}

// considerHomes considers the homes of the prefix, which all VMs agree on. There is one for all zones:
// the way to another zone takes a few milliseconds, reading a long prefix once more takes tens of them
// from all requests that run there.
func (b *byTime) considerHomes(exclude []call.ReplicaID) {
	first, second := b.r.homes(b.now, *b.c, b.p, exclude, b.lane)
	for _, s := range [2]*state{first, second} {
		if s == nil || b.r.full(b.now, s, b.f) {
			continue
		}
		age, holds := b.belief.age(b.now, s.idHash)
		if newest, any := b.belief.newest(b.now); !holds && any {
			// Other VMs send the prefix about as often.
			age, holds = newest, true
		}
		if !holds {
			age = unknownHomeAge
		}
		if s == first {
			age /= time.Duration(b.r.vms)
		} else if !holds {
			continue
		}
		t := b.timed(s, true, age)
		t.home = true
		b.consider(t)
		if b.best.s == s {
			break
		}
	}
}

func (b *byTime) consider(t timed) {
	switch {
	case b.best.s == nil:
		b.best = t
		return
	case b.best.s == t.s:
		if t.score < b.best.score {
			b.best = t
		}
		return
	}
	better := t.score < b.best.score
	if a, c := t.chance >= likely, b.best.chance >= likely; a != c {
		better = a
	}
	loser := t
	if better {
		loser, b.best = b.best, t
	}
	reason := SkipWorse
	if loser.chance < likely && b.best.chance >= likely {
		reason = SkipTooSlow
	}
	b.d.skip(loser.s.ID, reason)
}

// timed returns the times that the call can expect at a replica.
func (b *byTime) timed(s *state, holds bool, heldAge time.Duration) timed {
	r, now := b.r, b.now
	slots := r.slots(now, s, b.f.warm)
	otherLoad := s.otherLoadAt(now, r.cfg.ReportMaxAge)
	u := (r.ownLoad(s) + otherLoad + 1) / slots
	f := s.speed.at(now)
	theta := &b.first.theta
	base, perToken, perLoad := max(0, theta[0]), max(0, theta[1])/1000, max(0, theta[2])
	in := weighInput{
		OwnTokens: max(0, b.c.PromptTokens-b.c.SharedTokens), SharedTokens: min(b.c.SharedTokens, b.c.PromptTokens),
		Held: holds, HeldAge: heldAge, Copies: b.copies,
		Wait: seconds((base + perLoad*u) * f.value), MeanWait: seconds((base + perLoad*(b.f.mean+1/slots)) * f.value), WaitAge: r.waitAge(now, s),
		ReadPerToken: seconds(perToken * f.value), Pressure: min(1, u), Running: b.f.mean * slots, Room: true, Leaving: s.leaving,
	}
	t := timed{s: s, w: weigh(in), load: (float64(s.inFlight) + otherLoad) / slots}
	if in.SharedTokens > 0 {
		t.held = t.w.Saved / float64(in.SharedTokens)
	}
	extra := (b.unit-perLoad)*u*f.value + b.unit*(r.cfg.Penalty(r.cfg.Zone, s.Zone)+s.failurePenalty(now, r.cfg.EjectTime))
	t.score = t.w.Cost + seconds(extra)
	deviation := math.Sqrt(b.first.variance + f.variance)
	t.chance = chance(b.left, max(fitFloor, t.w.FirstToken.Seconds()), deviation)
	t.expect = Expectation{
		FirstToken: t.w.FirstToken, Uncertainty: deviation, Chance: t.chance, Factor: f.value, Age: f.age, Decides: true,
		x: features{1, t.w.Unread / 1000, u}, lane: b.lane.index(), sentAt: now, prefix: b.prefix, model: b.c.Model,
	}
	if b.gap.ready() {
		t.expect.Gap = seconds(b.gap.predict(features{1, 0, u}) * f.value)
		if b.c.GapTarget > 0 && t.expect.Gap > b.c.GapTarget {
			t.chance = 0
		}
	}
	return t
}

// waitAge returns the age of what is known about a replica's load: this VM's own calls are known
// without delay, those of the others by the last report.
func (r *Router) waitAge(now time.Time, s *state) time.Duration {
	if s.reportedAt.IsZero() {
		return 0
	}
	return now.Sub(s.reportedAt)
}

// expectation returns what a call can expect at a replica that was chosen by load.
func (r *Router) expectation(now time.Time, c call.Call, p *pool, s *state, unread float64, warm bool, lane lane) Expectation {
	if r.cfg.IgnoreSpeeds || c.PromptTokens == 0 {
		return Expectation{}
	}
	u := (r.ownLoad(s) + s.otherLoadAt(now, r.cfg.ReportMaxAge) + 1) / r.slots(now, s, warm)
	f := s.speed.at(now)
	e := Expectation{Factor: f.value, Age: f.age, Chance: 1, x: features{1, unread / 1000, u}, lane: lane.index(), sentAt: now, model: c.Model}
	if first := &p.expect.first[e.lane]; first.ready() {
		e.FirstToken, e.Uncertainty = seconds(first.predict(e.x)*f.value), math.Sqrt(first.variance+f.variance)
		e.Chance = chance(c.LatencyTarget, e.FirstToken.Seconds(), e.Uncertainty)
	}
	if gap := &p.expect.gap[e.lane]; gap.ready() {
		e.Gap = seconds(gap.predict(features{1, 0, u}) * f.value)
	}
	return e
}
