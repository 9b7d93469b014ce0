package proxy

import (
	"slices"
	"strconv"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/core/table"
	"gentianwell/io/back"
)

// RequestStats describes a finished request.
type RequestStats struct {
	Route   string
	Service call.Model
	Reason  Reason
	// Status is the status that the caller got; zero if the response was aborted.
	Status int
	// Sends counts the attempts, including those that a replica refused.
	Sends int
	// Ending says how the last attempt ended; empty if there was none.
	Ending back.Ending
	// FirstLatency is the time to the response or the first event, zero if there
	// was none; Total is the time to the end.
	FirstLatency, Total time.Duration
	// TakenUp is true if the caller took up a stream that had begun with an earlier request.
	TakenUp bool
	// Target is the route's target for FirstLatency.
	Target time.Duration
	// PromptTokens is the length of the prompt, SharedTokens of its part that other requests may
	// share; zero if unknown.
	PromptTokens, SharedTokens int
	// Stream is true if the route is one of streams.
	Stream bool
}

func (p *proxyRequest) log(event string) *logrus.Entry {
	return p.s.c.Log.WithFields(logrus.Fields{"event": event, "request": p.info.ID})
}

// finished logs the end of the request and passes its stats to Config.Observe.
func (p *proxyRequest) finished(reason Reason) {
	now := p.s.c.Now()
	stats := RequestStats{Service: p.call.Model, Reason: reason, Status: p.status, Sends: p.sends, Ending: p.lastAttempt.ending, TakenUp: p.takesUp(), Total: now.Sub(p.arrived)}
	stats.PromptTokens, stats.SharedTokens = p.call.PromptTokens, p.call.SharedTokens
	fields := logrus.Fields{
		"reason": reason, "status": p.status, "sends": p.sends, "mayHaveRun": p.possibleRuns, "total": milliseconds(stats.Total),
		"configuration": p.table.Version(), "path": p.path(), "team": p.call.Team,
	}
	if p.route != nil {
		stats.Stream = p.route.Kind == table.KindStream
		stats.Route, stats.Target = p.route.Name, p.route.LatencyTarget
		fields["route"], fields["service"], fields["tier"] = p.route.Name, p.call.Model, int(p.call.Tier)
	}
	if !p.firstAt.IsZero() {
		stats.FirstLatency = p.firstAt.Sub(p.arrived)
		fields["first"] = milliseconds(stats.FirstLatency)
	}
	if p.events > 0 {
		fields["events"], fields["lastEvent"] = p.events, p.lastEvent
	}
	if p.takesUp() {
		fields["resumes"], fields["version"] = p.info.Resumes, p.call.Version
	}
	if p.replica != "" {
		fields["replica"] = p.replica
	}
	if retryAfter := p.w.Header().Get("Retry-After"); retryAfter != "" {
		fields["retryAfter"] = retryAfter
	}
	if p.lastAttempt.retry != "" {
		fields["again"] = p.lastAttempt.retry
	}
	if p.lastAttempt.ending != "" && reason != ReasonDone {
		fields["ending"] = p.lastAttempt.ending
	}
	if p.lastAttempt.err != nil && reason != ReasonDone {
		fields["cause"] = p.lastAttempt.err.Error()
	}
	if p.pickErr != nil {
		fields["noPlace"] = p.pickErr.Error()
	}
	p.log("end").WithFields(fields).Info("request ended")
	p.s.c.Observe(stats)
}

func (p *proxyRequest) logRoute(d route.Decision) {
	skipped := make([]string, 0, len(d.Skipped))
	for _, s := range d.Skipped {
		skipped = append(skipped, string(s.ID)+":"+string(s.Reason))
	}
	slices.Sort(skipped)
	var prefix string
	if n := len(p.call.Prefixes); n > 0 {
		prefix = strconv.FormatUint(p.call.Prefixes[n-1], 36)
	}
	fields := logrus.Fields{
		"prefix": prefix, "shared": p.call.SharedTokens,
		"route": p.route.Name, "service": p.call.Model, "replica": d.Replica.ID, "version": d.Replica.Version, "zone": d.Replica.Zone,
		"reason": d.Reason, "load": d.Load, "reportAge": milliseconds(d.ReportAge), "cached": d.CachedPrefixes, "usable": d.Usable, "passed": skipped,
		"send": p.sends + 1, "left": milliseconds(p.deadline.Sub(p.s.c.Now())), "prompt": p.call.PromptTokens,
		"resumeAfter": p.lastEvent, "resumes": p.info.Resumes,
	}
	if e := d.Expected; e.FirstToken > 0 {
		fields["expected"], fields["expectedGap"], fields["uncertainty"] = milliseconds(e.FirstToken), milliseconds(e.Gap), e.Uncertainty
		fields["chance"], fields["factor"], fields["factorAge"], fields["byTime"] = e.Chance, e.Factor, milliseconds(e.Age), e.Decides
	}
	if d.Weighed != "" {
		fields["weighed"] = d.Weighed
	}
	p.log("route").WithFields(fields).Info("replica chosen")
}

// logAttempt logs an attempt that did not complete the response or that ejected its
// replica.
func (p *proxyRequest) logAttempt(e *attemptResult, result back.Result, ejected route.EjectReason) {
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
	if reason := result.Broken(); reason != "" {
		fields["broken"] = reason
	}
	if ejected != "" {
		fields["ejected"] = ejected
	}
	p.log("attempt").WithFields(fields).Info("attempt failed or its replica was ejected")
}

func milliseconds(d time.Duration) float64 {
	return float64(d.Round(100*time.Microsecond)) / float64(time.Millisecond)
}
