package proxy

import (
	"math"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/fair"
	"gentianwell/core/route"
)

// hasTeamShare reports whether the request is subject to the shares of teams. A stream that its caller
// takes up is not: its work is granted already, and a refusal would lose it.
func (p *proxyRequest) hasTeamShare() bool {
	return p.s.c.Fair != nil && p.call.Team != "" && !p.takesUp()
}

func (p *proxyRequest) shareRequest() fair.Request {
	return fair.Request{
		Team: p.call.Team, Model: p.call.Model, Fingerprint: p.call.Fingerprint,
		PromptTokens: p.call.PromptTokens, MaxTokens: p.call.MaxTokens,
	}
}

// fitsTeamShare reports whether the request may wait for a replica.
func (p *proxyRequest) fitsTeamShare() bool {
	if !p.hasTeamShare() {
		return true
	}
	r := p.shareRequest()
	r.Random = p.s.c.Random
	v := p.s.c.Fair.Ask(p.s.c.Now(), r)
	p.s.c.ObserveShare(v)
	if v.Admitted {
		return true
	}
	p.shareWait = v.RetryAfter
	p.log("teamShare").WithFields(logrus.Fields{
		"team": p.call.Team, "service": p.call.Model, "reason": v.Reason, "share": math.Round(v.Share), "use": math.Round(v.Use),
		"basis": v.Basis, "age": milliseconds(v.Age), "wait": milliseconds(v.RetryAfter),
	}).Info("refused, the team asks for more than its share")
	return false
}

// notePick tells Config.Fair whether the router had room for the request. Only the first attempt
// counts: further ones are for the same work.
func (p *proxyRequest) notePick(now time.Time, err error) {
	if p.sends > 0 || !p.hasTeamShare() {
		return
	}
	switch {
	case err == nil:
		p.s.c.Fair.Granted(now, p.shareRequest())
	case errors.Is(err, route.ErrBusy) && !p.turnedAway:
		p.turnedAway = true
		p.s.c.Fair.Short(now, p.shareRequest())
	}
}

// shareRetryAfter returns when the team's share has room, at most the part of its remaining time that a
// caller waits. Where that cuts the wait, it is random as for other refusals.
func (p *proxyRequest) shareRetryAfter() time.Duration {
	longest := time.Duration(maxWaitFraction * float64(p.deadline.Sub(p.s.c.Now())))
	if p.shareWait <= longest {
		return p.shareWait
	}
	return max(0, time.Duration((minWaitFraction+(1-minWaitFraction)*p.s.c.Random())*0.95*float64(longest)))
}
