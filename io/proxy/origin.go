package proxy

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/outbox"
	"gentianwell/core/table"
)

// maxRecordWait is how long the first event of a stream is held back until its version is recorded,
// before the stream begins elsewhere.
const maxRecordWait = 500 * time.Millisecond

// StreamStart describes a stream that is about to begin.
type StreamStart struct {
	Team    call.Team
	Request string
	Service call.Model
	// Version is that of the backend server's software; empty if it does not say.
	Version call.Version
	// Timeout is how long the caller waits in all; it may take the stream up until then.
	Timeout time.Duration
}

// resumable reports whether the request is answered by a stream that may be resumed.
func (p *proxyRequest) resumable() bool {
	return p.route != nil && p.route.Kind == table.KindStream && p.route.Resumes
}

// takesUp reports whether the caller takes up a stream of which it has the beginning.
func (p *proxyRequest) takesUp() bool { return p.resumable() && p.info.ResumeAfter != "" }

// bindVersion binds a request that takes a stream up to the version that began it. If that is not
// known, it returns a status and a reason.
func (p *proxyRequest) bindVersion(ctx context.Context) (int, Reason) {
	if !p.takesUp() {
		return 0, ""
	}
	began, err := p.s.c.StreamOrigin(ctx, p.call.Team, p.call.Model, p.info.Resumes)
	if err != nil {
		p.log("takeUp").WithError(err).WithField("resumes", p.info.Resumes).Info("the version that began a stream is not known")
		return http.StatusServiceUnavailable, ReasonVersionUnknown
	}
	p.call.Version = began.Version
	if p.route.Runs(began.Service) {
		p.call.Model = began.Service
	}
	return 0, ""
}

// preference returns the version at which the stream should begin, and whether it must not begin
// at another one; empty if any will do.
func (p *proxyRequest) preference() (preferred call.Version, only bool) {
	if !p.resumable() || p.call.Version != "" || p.takesUp() {
		return "", false
	}
	return p.s.c.StreamPrefers(p.call.Model)
}

// recordVersion begins to record the version of a replica that answers with a stream, if the
// stream begins there. An attempt that fails before leaves no record of a version at which
// nothing has begun.
func (p *proxyRequest) recordVersion(version call.Version) {
	p.recorded = nil
	if p.resumable() && p.call.Version == "" && !p.takesUp() {
		p.recorded = p.s.c.StreamBegins(StreamStart{
			Team: p.call.Team, Request: p.info.ID, Service: p.call.Model, Version: version, Timeout: cmp.Or(p.info.Timeout, defaultTimeout),
		})
	}
}

// awaitRecord waits until the version is recorded. It returns false if the stream must not begin here,
// because it could be taken up at another version: after maxRecordWait it begins elsewhere if it can,
// and else waits on until its deadline, as a late stream is better than none. It does not wait for a
// record that never will be known.
func (p *proxyRequest) awaitRecord(version call.Version) bool {
	if p.recorded == nil {
		return true
	}
	recorded := p.recorded
	p.recorded = nil
	t := time.NewTicker(maxRecordWait)
	defer t.Stop()
	for {
		select {
		case <-recorded.Done():
			if recorded.Outcome() == outbox.OutcomeKnown {
				return true
			}
		case <-p.r.Context().Done():
			return false
		case <-t.C:
		}
		now := p.s.c.Now()
		outcome := recorded.Outcome()
		// A record that was replaced names another version than this one.
		begins := outcome != outbox.OutcomeReplaced && p.s.c.StreamMayBegin(p.call.Model, version)
		elsewhere := p.beginsElsewhere(now)
		p.log("streamRecord").WithFields(logrus.Fields{
			"waited": milliseconds(now.Sub(p.arrived)), "version": version, "outcome": outcome, "begins": begins, "elsewhere": elsewhere,
		}).Warn("the version of a stream is not recorded yet")
		if begins || elsewhere || outcome != outbox.OutcomePending || !now.Before(p.deadline) {
			return begins
		}
	}
}

// beginsElsewhere reports whether the route allows another attempt, and a replica of the version that
// needs no record has room.
func (p *proxyRequest) beginsElsewhere(now time.Time) bool {
	preferred, _ := p.preference()
	if preferred == "" || p.possibleRuns+1 >= p.route.MaxAttempts() {
		return false
	}
	c := p.call
	c.Version = preferred
	_, err := p.s.c.Router.Pick(now, c, append(slices.Clone(p.tried), p.replica))
	return err == nil
}
