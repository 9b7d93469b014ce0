package route

import (
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// slowStartFloor is the initial share of its slots that a new replica may use.
const slowStartFloor = 0.1

// candidate is a replica with its score; a lower score is better.
type candidate struct {
	s      *state
	score  float64
	load   float64
	cached int
}

// Arrived counts a call. It is to be called once for each call, however often Pick is
// retried for it: the lanes and the slots reserved for urgent calls follow the arrival
// rates.
func (r *Router) Arrived(now time.Time, c call.Call) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if p := r.pools[c.Model]; p != nil {
		p.classes.record(now, c, r.cfg.HomeTokens)
	}
}

// Pick chooses a replica for the call. It does not choose those in exclude, on which
// the call has been tried.
//
// Errors: ErrNoReplica, ErrNoVersion, ErrBusy, ErrLimited.
func (r *Router) Pick(now time.Time, c call.Call, exclude []call.ReplicaID) (Decision, error) {
	return r.pick(now, c, exclude, "")
}

// PickOther chooses another replica for a call in flight on the replica from, which the
// call is about to leave. It does as Pick does, except that a call that stays in the long
// lane needs no further part of the VM's share of it, and that its place at the replica from
// does not count.
//
// Errors: ErrNoReplica, ErrNoVersion, ErrBusy, ErrLimited.
func (r *Router) PickOther(now time.Time, c call.Call, exclude []call.ReplicaID, from call.ReplicaID) (Decision, error) {
	return r.pick(now, c, exclude, from)
}

// PickReplica chooses the given replica if it has room for the call, even if it is ejected
// or in its slow start.
//
// Errors: ErrNoReplica, ErrBusy.
func (r *Router) PickReplica(now time.Time, c call.Call, id call.ReplicaID) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.PickReplica: %s", c.Model)
	}
	i := slices.IndexFunc(p.all, func(s *state) bool { return s.ID == id })
	if i < 0 {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.PickReplica: %s on %s", c.Model, id)
	}
	s, lane := p.all[i], r.laneOf(now, c, p)
	if !s.runs(c) || s.leaving {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.PickReplica: %s on %s", c.Model, id)
	}
	f := filtered{maxLoad: p.classes.slotShare(now, c)}
	if lane.long {
		f.maxLoad *= longMaxLoad
	}
	_, _, over := r.overShare(now, p, lane)
	if over || s.paused(now) || s.reserved(now) || r.limited(now, s) || r.full(now, s, &f) {
		return Decision{}, errors.Annotatef(ErrBusy, "Router.PickReplica: %s on %s", c.Model, id)
	}
	best := r.candidate(now, s, f.warm)
	return Decision{Replica: s.Replica, Reason: r.reason(now, best, f), Load: best.load, Usable: 1}, nil
}

// pick chooses a replica for a call that is in flight on the replica from, if any.
func (r *Router) pick(now time.Time, c call.Call, exclude []call.ReplicaID, from call.ReplicaID) (Decision, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[c.Model]
	if p == nil {
		return Decision{}, errors.Annotatef(ErrNoReplica, "Router.Pick: %s", c.Model)
	}
	var d Decision
	local, remote := r.partsFor(p, c)
	if len(local)+len(remote) == 0 && c.Version != "" {
		return d, errors.Annotatef(ErrNoVersion, "Router.Pick: %s of version %s", c.Model, c.Version)
	}
	lane := r.laneOf(now, c, p)
	if inFlight, share, over := r.overShare(now, p, lane); over && !p.counts(now, lane, from) {
		return d, errors.Annotatef(ErrBusy, "Router.Pick: %s: %g long-prompt calls in flight on this VM, its share is %.1f", c.Model, inFlight, share)
	}
	maxLoad := p.classes.slotShare(now, c)
	if lane.long {
		maxLoad *= longMaxLoad
	}
	f := r.filter(now, local, remote, exclude, &d, maxLoad, from)
	if f.usable() > 0 && (c.Version == "" || lane.hasAny(local) || lane.hasAny(remote)) {
		f = r.restrictToLane(now, f, lane)
	}
	if f.usable() == 0 && lane.short {
		f = r.filter(now, local, remote, exclude, &d, shortOverflowMaxLoad, from)
	}
	if f.usable() == 0 {
		return d, errors.Annotatef(f.err(), "Router.Pick: %s", c.Model)
	}
	if !r.cfg.IgnoreSpeeds && c.PromptTokens > 0 && p.expect.decides(now, lane.index(), r.cfg.MeasuredSpeeds) {
		r.decideByTime(now, c, p, exclude, &f, lane, &d)
		return d, nil
	}
	best, home := r.home(now, c, p, exclude, f, lane)
	if home && best.s == nil {
		home = false
		if !lane.short {
			f = f.only(func(s *state) bool { return r.loadPerSlot(now, s) < longOverflowMaxLoad })
		}
		if f.usable() == 0 {
			return d, errors.Annotatef(ErrBusy, "Router.Pick: %s: the prefix's home replicas are full and no other replica has enough room", c.Model)
		}
	}
	if !home {
		best = r.best(now, c, f, &d)
	}
	d.Replica = best.s.Replica
	d.Load = best.load
	if !best.s.reportedAt.IsZero() {
		d.ReportAge = now.Sub(best.s.reportedAt)
	}
	d.CachedPrefixes = best.cached
	d.Usable = f.usable()
	d.Reason = r.reason(now, best, f)
	unread := float64(c.PromptTokens)
	if home {
		d.Reason = ReasonHome
		unread -= float64(min(c.SharedTokens, c.PromptTokens))
	}
	d.Expected = r.expectation(now, c, p, best.s, unread, f.warm, lane)
	return d, nil
}

// decideByTime sets the decision by the expected times.
func (r *Router) decideByTime(now time.Time, c call.Call, p *pool, exclude []call.ReplicaID, f *filtered, lane lane, d *Decision) {
	best := r.byTime(now, c, p, exclude, f, lane, d)
	d.Replica, d.Load, d.Expected, d.Usable = best.s.Replica, best.load, best.expect, f.usable()
	d.Weighed = best.w.Reason
	if !best.s.reportedAt.IsZero() {
		d.ReportAge = now.Sub(best.s.reportedAt)
	}
	if best.held >= likely {
		d.CachedPrefixes = len(c.Prefixes)
	}
	switch {
	case best.s.ejected(now):
		d.Reason = ReasonLastResort
	case best.home:
		d.Reason = ReasonHome
	case best.held >= likely:
		d.Reason = ReasonPrefixCached
	case best.s.Zone != r.cfg.Zone && f.hadLocal:
		d.Reason = ReasonOtherZone
	default:
		d.Reason = ReasonFastest
	}
}

func (r *Router) reason(now time.Time, best candidate, f filtered) Reason {
	switch {
	case best.s.ejected(now):
		return ReasonLastResort
	case best.cached > 0:
		return ReasonPrefixCached
	case best.s.Zone != r.cfg.Zone && f.hadLocal:
		return ReasonOtherZone
	}
	return ReasonLeastLoaded
}

// HasCapacity reports whether Pick would find a replica for the model.
func (r *Router) HasCapacity(now time.Time, model call.Model) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	p := r.pools[model]
	if p == nil {
		return false
	}
	var d Decision
	f := r.filter(now, p.local, p.remote, nil, &d, 1, "")
	return f.usable() > 0
}

// filtered is the part of a pool from which a call may choose.
type filtered struct {
	local, remote []*state
	// hadLocal is true if the pool has replicas in the VM's own zone.
	hadLocal bool
	// warm is true if some replica that is not ejected has finished its slow start.
	warm bool
	// maxLoad is the load per slot up to which the call may use a replica.
	maxLoad float64
	// from is the replica that the call is about to leave, if any. Its place there does not
	// count.
	from call.ReplicaID
	// full counts the replicas that are unusable only because they are full, reserved or
	// in another lane, limited those that are only because of the limits that they name or the
	// pause that they have asked for.
	full, limited int
	// mean is the mean load per slot of the usable replicas.
	mean float64
}

func (f *filtered) usable() int { return len(f.local) + len(f.remote) }

func (f *filtered) err() error {
	switch {
	case f.full > 0:
		return ErrBusy
	case f.limited > 0:
		return ErrLimited
	}
	return ErrNoReplica
}

// partsFor returns the replicas among which a call may choose, those of the own zone and the
// others: the subset or, for a call of one version, all replicas of that version, as the subset
// may have none.
func (r *Router) partsFor(p *pool, c call.Call) (local, remote []*state) {
	if c.Version == "" {
		return p.local, p.remote
	}
	var list []*state
	for _, s := range p.all {
		if s.runs(c) {
			list = append(list, s)
		}
	}
	return r.split(list)
}

// filter returns those of the replicas that are not excluded, ejected, reserved or full, that do
// not leave, and whose limits and pauses allow a call. If only ejected replicas are left, it
// returns those.
func (r *Router) filter(now time.Time, local, remote []*state, exclude []call.ReplicaID, d *Decision, maxLoad float64, from call.ReplicaID) filtered {
	r.scratch = r.scratch[:0]
	f := filtered{maxLoad: maxLoad, from: from, hadLocal: len(local) > 0, warm: r.anyWarm(now, local, remote)}
	f.local = r.usable(now, local, exclude, &f, d, false)
	f.remote = r.usable(now, remote, exclude, &f, d, false)
	if f.usable() == 0 && f.full == 0 && f.limited == 0 {
		f.local = r.usable(now, local, exclude, &f, d, true)
		f.remote = r.usable(now, remote, exclude, &f, d, true)
	}
	if n := f.usable(); n > 0 {
		f.mean /= float64(n)
	}
	return f
}

func (r *Router) usable(now time.Time, part []*state, exclude []call.ReplicaID, f *filtered, d *Decision, includeEjected bool) []*state {
	from := len(r.scratch)
	for _, s := range part {
		switch {
		case slices.Contains(exclude, s.ID):
			d.skip(s.ID, SkipExcluded)
		case s.leaving:
			d.skip(s.ID, SkipLeaving)
		case s.paused(now):
			f.limited++
			d.skip(s.ID, SkipPaused)
		case (s.ejected(now) || r.zoneEjected(now, s.Zone)) && !includeEjected:
			d.skip(s.ID, SkipEjected)
		case s.reserved(now):
			f.full++
			d.skip(s.ID, SkipReserved)
		case r.limited(now, s):
			f.limited++
			d.skip(s.ID, SkipLimited)
		case r.full(now, s, f):
			f.full++
			d.skip(s.ID, SkipFull)
		default:
			f.mean += s.load(now, r.cfg.ReportMaxAge) / float64(s.Slots)
			r.scratch = append(r.scratch, s)
		}
	}
	return r.scratch[from:len(r.scratch):len(r.scratch)]
}

func (r *Router) anyWarm(now time.Time, local, remote []*state) bool {
	for _, part := range [2][]*state{local, remote} {
		for _, s := range part {
			if !s.ejected(now) && r.slowStartShare(now, s) == 1 {
				return true
			}
		}
	}
	return false
}

// slowStartShare returns the share of its slots that the replica may use in its slow
// start, 1 after it.
func (r *Router) slowStartShare(now time.Time, s *state) float64 {
	if s.slowStartSince.IsZero() {
		return 1
	}
	age := now.Sub(s.slowStartSince)
	if age >= r.cfg.SlowStart {
		return 1
	}
	return max(slowStartFloor, float64(age)/float64(r.cfg.SlowStart))
}

// slots returns the number of slots that the replica may use. The slow start applies
// only while a warm replica can take the rest of the calls.
func (r *Router) slots(now time.Time, s *state, warm bool) float64 {
	if !warm {
		return float64(s.Slots)
	}
	return max(1, float64(s.Slots)*r.slowStartShare(now, s))
}

// limited reports whether a limit that the replica names keeps this VM from sending to it.
func (r *Router) limited(now time.Time, s *state) bool {
	return r.cfg.Limits != nil && !r.cfg.Limits.Allows(now, s.ID)
}

func (r *Router) full(now time.Time, s *state, f *filtered) bool {
	load := s.load(now, r.cfg.ReportMaxAge)
	if s.ID == f.from {
		load--
	}
	return load+1 > max(1, r.slots(now, s, f.warm)*f.maxLoad)
}

// best returns the best of a few random replicas of the own zone and of the others, and
// of the replicas that probably have the call's prefix cached.
func (r *Router) best(now time.Time, c call.Call, f filtered, d *Decision) candidate {
	var best candidate
	consider := func(cand candidate) {
		switch {
		case best.s == nil:
			best = cand
		case best.s == cand.s:
			best = better(best, cand)
		case cand.score < best.score:
			d.skip(best.s.ID, SkipWorse)
			best = cand
		default:
			d.skip(cand.s.ID, SkipWorse)
		}
	}
	for _, part := range [2][]*state{f.local, f.remote} {
		r.sampleToFront(part)
		for _, s := range part[:min(r.cfg.Choices, len(part))] {
			consider(r.candidate(now, s, f.warm))
		}
	}
	r.considerHinted(now, c, f, consider)
	return best
}

func better(a, b candidate) candidate {
	if b.score < a.score {
		return b
	}
	return a
}

// sampleToFront moves Choices random replicas to the front.
func (r *Router) sampleToFront(part []*state) {
	for i := range min(r.cfg.Choices, len(part)) {
		j := i + r.cfg.Rand.IntN(len(part)-i)
		part[i], part[j] = part[j], part[i]
	}
}

func (r *Router) candidate(now time.Time, s *state, warm bool) candidate {
	slots := r.slots(now, s, warm)
	otherLoad := s.otherLoadAt(now, r.cfg.ReportMaxAge)
	load := (float64(s.inFlight) + otherLoad) / slots
	score := (r.ownLoad(s) + otherLoad + 1) / slots
	score += r.cfg.Penalty(r.cfg.Zone, s.Zone) + s.failurePenalty(now, r.cfg.EjectTime)
	return candidate{s: s, score: score, load: load}
}

// ownLoad returns the cost of this VM's calls in flight as a number of calls of mean
// cost.
func (r *Router) ownLoad(s *state) float64 {
	if r.meanCost <= 0 {
		return float64(s.inFlight)
	}
	return s.costInFlight / r.meanCost
}

// considerHinted considers the replicas that probably have the longest prefix cached,
// except those whose load exceeds AffinityBound.
func (r *Router) considerHinted(now time.Time, c call.Call, f filtered, consider func(candidate)) {
	if len(c.Prefixes) == 0 {
		return
	}
	for _, match := range r.cfg.Hints.Lookup(c.Model, c.Prefixes) {
		s := r.byID[match.Replica]
		if s == nil || !(slices.Contains(f.local, s) || slices.Contains(f.remote, s)) {
			continue
		}
		cand := r.candidate(now, s, f.warm)
		if cand.load > f.mean*r.cfg.AffinityBound+1/float64(s.Slots) {
			continue
		}
		cand.cached = match.Prefixes
		cand.score -= r.cfg.AffinityWeight * float64(match.Prefixes) / float64(len(c.Prefixes))
		consider(cand)
	}
}
