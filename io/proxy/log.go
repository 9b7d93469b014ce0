package proxy

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/back"
)

// RequestStats is what is known of a request that has ended.
type RequestStats struct {
	Route   string
	Service call.Model
	Reason  Reason
	// Status is what the caller got; zero where the answer was cut.
	Status int
	Sends  int
	// FirstLatency is the time to the answer or the first event, zero where none came;
	// Total that to the end.
	FirstLatency, Total time.Duration
	// Target is the route's for First.
	Target time.Duration
}

func (p *pass) log(event string) *logrus.Entry {
	return p.s.c.Log.WithFields(logrus.Fields{"event": event, "request": p.ask.ID})
}

// finished logs and counts the end of a request.
func (p *pass) finished(reason Reason) {
	now := p.s.c.Now()
	m := RequestStats{Service: p.call.Model, Reason: reason, Status: p.written, Sends: p.sends, Total: now.Sub(p.arrived)}
	fields := logrus.Fields{
		"reason": reason, "status": p.written, "sends": p.sends, "mayHaveRun": p.ran, "total": milliseconds(m.Total),
		"configuration": p.table.Version(), "path": p.path(), "team": p.call.Team,
	}
	if p.route != nil {
		m.Route, m.Target = p.route.Name, p.route.Target
		fields["route"], fields["service"], fields["tier"] = p.route.Name, p.call.Model, int(p.call.Tier)
	}
	if !p.firstAt.IsZero() {
		m.FirstLatency = p.firstAt.Sub(p.arrived)
		fields["first"] = milliseconds(m.FirstLatency)
	}
	if p.events > 0 {
		fields["events"], fields["lastEvent"] = p.events, p.lastEvent
	}
	if p.replica != "" {
		fields["replica"] = p.replica
	}
	if retryAfter := p.w.Header().Get("Retry-After"); retryAfter != "" {
		fields["retryAfter"] = retryAfter
	}
	if p.last.retry != "" {
		fields["again"] = p.last.retry
	}
	if p.last.err != nil && reason != ReasonDone {
		fields["cause"] = p.last.err.Error()
	}
	if p.noPlace != nil {
		fields["noPlace"] = p.noPlace.Error()
	}
	p.log("end").WithFields(fields).Info("request ended")
	p.s.c.Observe(m)
}

func (p *pass) logRoute(d route.Decision) {
	passed := make([]string, 0, len(d.Skipped))
	for _, one := range d.Skipped {
		passed = append(passed, string(one.ID)+":"+string(one.Reason))
	}
	slices.Sort(passed)
	var prefix string
	if n := len(p.call.Prefixes); n > 0 {
		prefix = strconv.FormatUint(p.call.Prefixes[n-1], 36)
	}
	p.log("route").WithFields(logrus.Fields{
		"prefix": prefix, "shared": p.call.SharedTokens,
		"route": p.route.Name, "service": p.call.Model, "replica": d.Replica.ID, "zone": d.Replica.Zone,
		"reason": d.Reason, "load": d.Load, "reportAge": milliseconds(d.ReportAge), "cached": d.CachedPrefixes, "usable": d.Usable, "passed": passed,
		"send": p.sends + 1, "left": milliseconds(p.until.Sub(p.s.c.Now())), "prompt": p.call.PromptTokens,
		"resumeAfter": p.lastEvent,
	}).Info("replica chosen")
}

// logAttempt logs an attempt that was not the whole answer.
func (p *pass) logAttempt(e *attemptEnd, result back.Result, ejected route.EjectReason) {
	if e.done && ejected == "" {
		return
	}
	fields := logrus.Fields{
		"replica": e.replica, "ending": result.Ending, "cause": e.cause, "status": e.status, "mayHaveRun": e.mayHaveRun,
		"reused": result.Reused, "took": milliseconds(p.s.c.Now().Sub(e.started)), "events": p.events,
	}
	if e.err != nil {
		fields["error"] = e.err.Error()
	}
	if ejected != "" {
		fields["ejected"] = ejected
	}
	p.log("attempt").WithFields(fields).Info("attempt failed")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
