package fair

import (
	"math"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

const (
	// maxServices limits the services that are measured.
	maxServices = 256
	// maxWork exceeds the work of any request.
	maxWork = 1e9
	// returnDebt is how far ahead of its share a team's returned requests may be admitted, as a
	// multiple of the request: they then go before new ones, and the team's share stays the same.
	// Each VM may lend it once, so that a higher one adds up over the fleet.
	returnDebt = 1
	// waitJitter is the part of a wait that is random.
	waitJitter = 0.3
	// minWaitFraction is the least part of the longest wait that a caller is told if room is farther
	// away than that.
	minWaitFraction = 0.4
)

// Fair decides for one VM. It is safe for concurrent use.
type Fair struct {
	c Config

	mu       sync.Mutex
	services map[call.Model]*service
	returns  returns
}

// New returns a Fair without measurements.
//
// Errors: NotValid, from Config.Validate.
func New(c Config) (*Fair, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "fair.New")
	}
	return &Fair{c: c, services: map[call.Model]*service{}}, nil
}

// service returns the state of a service, nil beyond maxServices; f.mu is held.
func (f *Fair) service(model call.Model) *service {
	s := f.services[model]
	if s == nil && len(f.services) < maxServices {
		s = &service{teams: map[call.Team]*team{}, level: math.Inf(1), throttle: 1}
		f.services[model] = s
	}
	return s
}

// Ask counts a request and decides whether it may wait for a replica.
func (f *Fair) Ask(now time.Time, r Request) Verdict {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.service(r.Model)
	if s == nil {
		return Verdict{Admitted: true, Reason: ReasonEnoughRoom}
	}
	t := s.team(r.Team)
	if t == nil {
		return Verdict{Admitted: true, Reason: ReasonEnoughRoom}
	}
	work := f.c.work(r)
	if s.meanWork == 0 {
		s.meanWork = work
	}
	s.meanWork += meanWeight * (work - s.meanWork)
	t.newAsked.add(now, work, f.c.TimeConstant)
	t.ownAsked.add(now, work, f.c.TimeConstant)
	v := Verdict{Admitted: true, Reason: ReasonEnoughRoom, Basis: s.basis(now, &f.c)}
	if !s.heardAt.IsZero() {
		v.Age = now.Sub(s.heardAt)
	}
	if !s.short(now, &f.c) {
		t.credit = 0
		return v
	}
	s.refresh(now, &f.c)
	v.Share, v.Use, v.Reason = s.level, t.useAsked, ReasonWithinShare
	if t.useAsked <= s.level*(1+measureError)+ownNoise*s.meanWork {
		t.credit = 0
		return v
	}
	part := s.level / t.useAsked
	// The throttle has its full effect on a team far above its share, and none on one at its share.
	return f.limit(now, r, t, work, min(1, part*max(s.throttle, math.Pow(part, throttleRise))), v)
}

// limit decides about a request of a team that asks for more than its share: the part of its work
// that fits, ratio, is admitted.
func (f *Fair) limit(now time.Time, r Request, t *team, work, ratio float64, v Verdict) Verdict {
	t.credit += ratio * work
	v.Reason = ReasonPartOfShare
	least := 0.0
	if f.returns.has(now, r.Fingerprint) {
		v.Reason, least = ReasonReturned, -returnDebt*work
	}
	if t.credit >= least {
		t.credit -= work
		return v
	}
	v.Admitted, v.Reason = false, ReasonOverShare
	v.RetryAfter = f.retryAfter(now, t, work, ratio, r.Random())
	f.returns.add(r.Fingerprint, now.Add(v.RetryAfter+returnGrace))
	return v
}

// retryAfter returns when the team has room on this VM for one more request, behind those that were
// refused before it. Room comes at the rate at which the team's requests are admitted.
func (f *Fair) retryAfter(now time.Time, t *team, work, ratio, random float64) time.Duration {
	perSecond := ratio * t.ownAsked.read(now, f.c.TimeConstant) / f.c.TimeConstant.Seconds()
	if t.nextRoom.Before(now) {
		t.nextRoom = now
	}
	if gap := work / perSecond; gap < f.c.MaxRetryAfter.Seconds() && t.nextRoom.Sub(now) < f.c.MaxRetryAfter {
		t.nextRoom = t.nextRoom.Add(time.Duration(gap * float64(time.Second)))
	} else {
		t.nextRoom = now.Add(f.c.MaxRetryAfter)
	}
	wait := float64(t.nextRoom.Sub(now)) * (1 + waitJitter*(random-0.5))
	longest := float64(f.c.MaxRetryAfter)
	if wait >= longest {
		wait = longest * (minWaitFraction + (1-minWaitFraction)*random)
	}
	return time.Duration(max(wait, float64(f.c.MinRetryAfter)*(1+random)))
}

// Granted counts a request that has got a place at a replica.
func (f *Fair) Granted(now time.Time, r Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[r.Model]; s != nil && s.teams[r.Team] != nil {
		s.observe(&f.c, true)
		s.teams[r.Team].newGranted.add(now, f.c.work(r), f.c.TimeConstant)
	}
}

// Short reports that the router had no room for a request when it asked for it. It is to be called
// once for each request.
func (f *Fair) Short(now time.Time, r Request) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if s := f.services[r.Model]; s != nil {
		s.shortAt = now
		s.observe(&f.c, false)
		s.turned.newAsked.add(now, f.c.work(r), f.c.TimeConstant)
	}
}
