package proxy

import (
	"cmp"
	"context"
	"io"
	"net/http"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/frame"
	"gentianwell/core/outbox"
	"gentianwell/core/poison"
	"gentianwell/core/table"
	"gentianwell/io/admit"
	"gentianwell/io/back"
)

// proxyRequest is the state of one request while it is served.
type proxyRequest struct {
	s *Server
	w http.ResponseWriter
	r *http.Request

	arrived time.Time
	// deadline is when the final response is due.
	deadline time.Time
	info     RequestInfo
	table    *table.Table
	route    *table.Route
	team     *table.Team
	body     []byte
	// reserved is the memory that bodyMemory counts for the body.
	reserved int64
	// bodyUnread is true while more of the body may come.
	bodyUnread bool
	call       call.Call
	// parts are the fingerprints of the parts of the prompt that may be shared.
	parts []poison.Fingerprint

	// sends counts the attempts, possibleRuns those in which a replica may have run the
	// request.
	sends, possibleRuns int
	// unclaimed is true after a refusal that may not have been of this request.
	unclaimed bool
	// counted is true once RunStarted was called.
	counted bool
	// tried holds the replicas that failed or refused the request, silent those of them
	// that were given up because they were silent.
	tried, silent []call.ReplicaID
	// tryAgainAt holds when those of silent that may have gone on are tried again.
	tryAgainAt map[call.ReplicaID]time.Time
	replica    call.ReplicaID
	// takeover is that of the current or last attempt; nil before the first one.
	takeover *takeover
	// responseStarted is true once the header of a stream was written to the caller;
	// lastEvent is the last id of an event that the caller has; endsWithoutID is true if
	// the last event has none.
	responseStarted bool
	lastEvent       string
	endsWithoutID   bool
	// steps and gaps count the steps between the ids of forwarded events.
	steps, gaps int
	// crashed holds the replicas to which connections were lost while they may have run the
	// request.
	crashed []back.Target
	// recorded tells when the version of the current attempt is recorded; nil if nothing is
	// to be waited for.
	recorded *outbox.Wait
	// firstAt is when the response or the first event was forwarded; events counts the
	// forwarded events.
	firstAt time.Time
	events  int
	// status is the status that the caller got; zero if the response was aborted.
	status      int
	lastAttempt attemptResult
	// turnedAway is true once Config.Fair knows that the router had no room for the request.
	turnedAway bool
	// shareWait is when the team's share has room again, if it refused the request.
	shareWait time.Duration
	// pickErr is the router's error if it had no replica for the request.
	pickErr error
}

// errDeadline is the context's cause when the request's deadline has passed.
const errDeadline = errors.ConstError("the caller's deadline or the route's timeout has passed")

// serve runs the request until its final response.
func (p *proxyRequest) serve() {
	defer func() { p.s.bodies.release(p.reserved) }()
	if status, reason := p.prepare(); status != 0 {
		p.refuse(status, reason)
		return
	}
	ctx, cancel := context.WithDeadlineCause(p.r.Context(), p.deadline, errDeadline)
	defer cancel()
	defer context.AfterFunc(p.s.c.Ended, cancel)()
	p.run(ctx)
}

// prepare reads the request and finds its route and team. It returns a status and a
// reason if the request is refused, otherwise a zero status.
func (p *proxyRequest) prepare() (int, Reason) {
	if fault := framingFault(p.r); fault != frame.FaultNone {
		p.log("framing").WithField("fault", fault).Info("the length of the request is not certain")
		p.closeConnection()
		p.bodyUnread = false
		return http.StatusBadRequest, ReasonMalformed
	}
	var err error
	if p.info, err = p.s.c.Headers.ReadRequest(p.r.Header); err != nil {
		return http.StatusBadRequest, ReasonMalformed
	}
	p.deadline = p.arrived.Add(cmp.Or(p.info.Timeout, defaultTimeout))
	if p.table = p.s.c.Table(); p.table == nil {
		return http.StatusServiceUnavailable, ReasonNoTable
	}
	if status, reason := p.lookUp(); status != 0 {
		return status, reason
	}
	if err := back.CheckPath(p.target()); err != nil {
		p.log("target").WithError(err).Info("the target of the request cannot be passed on unchanged")
		return http.StatusBadRequest, ReasonMalformed
	}
	if p.route.Timeout > 0 {
		p.deadline = earlierOf(p.deadline, p.arrived.Add(p.route.Timeout))
	}
	if status, reason := p.readBody(); status != 0 {
		return status, reason
	}
	p.buildCall()
	return 0, ""
}

func earlierOf(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// lookUp finds the route and the team. An unknown route or key gets 404 or 401 only
// if the table is known to be the newest; otherwise 503, so that the caller retries.
func (p *proxyRequest) lookUp() (int, Reason) {
	var ok bool
	if p.route, ok = p.table.Match(p.r.Host, p.path()); !ok {
		if !p.s.c.TableIsCurrent() {
			return http.StatusServiceUnavailable, ReasonTableMayBeOld
		}
		return http.StatusNotFound, ReasonNoRoute
	}
	if p.route.Closed {
		return http.StatusServiceUnavailable, ReasonRouteNotValid
	}
	if !p.table.NeedsKey(p.route) {
		return 0, ""
	}
	if p.team, ok = p.table.Team(p.info.Key); !ok {
		if !p.s.c.TableIsCurrent() {
			return http.StatusServiceUnavailable, ReasonTableMayBeOld
		}
		return http.StatusUnauthorized, ReasonUnknownKey
	}
	return 0, ""
}

// path returns the path as the caller sent it, without the query.
func (p *proxyRequest) path() string {
	path, _, _ := strings.Cut(p.target(), "?")
	return path
}

// target returns the path and query as the caller sent them.
func (p *proxyRequest) target() string { return originForm(p.r.RequestURI) }

// originForm returns the path and query of a request target, byte for byte, also of one that
// names scheme and host.
func originForm(target string) string {
	if strings.HasPrefix(target, "/") {
		return target
	}
	_, rest, ok := strings.Cut(target, "://")
	if !ok {
		return target
	}
	i := strings.IndexAny(rest, "/?")
	switch {
	case i < 0:
		return "/"
	case rest[i] == '?':
		return "/" + rest[i:]
	}
	return rest[i:]
}

func (p *proxyRequest) readBody() (int, Reason) {
	if p.r.Body == nil || p.r.Body == http.NoBody {
		return 0, ""
	}
	limit := p.table.MaxBodyBytes()
	if limit > 0 && p.r.ContentLength > limit {
		p.closeConnection()
		return http.StatusRequestEntityTooLarge, ReasonTooLarge
	}
	body := io.Reader(p.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(p.w, p.r.Body, limit)
	}
	control := http.NewResponseController(p.w)
	if err := control.SetReadDeadline(p.deadline); err != nil {
		p.log("readDeadline").WithError(err).Warn("cannot set the read deadline for the body")
	}
	var err error
	if p.body, err = p.readAll(body, p.r.ContentLength); err != nil {
		var tooLarge *http.MaxBytesError
		p.closeConnection()
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, ReasonTooLarge
		}
		if errors.Is(err, errMemoryFull) {
			return http.StatusServiceUnavailable, ReasonMemoryFull
		}
		// The rest of the body is late or will not come.
		p.bodyUnread = false
		if !p.s.c.Now().Before(p.deadline) {
			return http.StatusRequestTimeout, ReasonTimeout
		}
		// The caller disconnected, or the body is malformed.
		return http.StatusBadRequest, ReasonMalformed
	}
	p.bodyUnread = false
	admit.BodyRead(p.r)
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		p.log("readDeadline").WithError(err).Warn("cannot clear the read deadline of the body")
	}
	return 0, ""
}

// buildCall fills in the call that the router and the retry policy decide on.
func (p *proxyRequest) buildCall() {
	rank := p.table.Rank(p.team, p.route)
	p.call = call.Call{
		ID: p.info.ID, Class: call.Class(p.route.Name), Tier: tierOf(rank), Model: p.route.Choose(p.s.c.Random()),
		Zone: p.s.c.Zone, Idempotent: p.route.Repeatable(), Prefixes: prefixHashes(p.info.Parts),
		SharedTokens: sharedTokens(p.info.Parts), PromptTokens: p.info.PromptTokens, MaxTokens: p.info.MaxTokens,
		Arrived: p.arrived, Deadline: p.deadline, LatencyTarget: p.route.LatencyTarget, GapTarget: p.route.GapTarget,
	}
	if p.team != nil {
		p.call.Team = p.team.Name
	}
	p.call.Fingerprint = fingerprintOf(string(p.call.Team), p.r.Method, p.r.Host, p.target(), p.body)
	p.parts = partFingerprints(p.info.Parts)
	p.lastEvent = p.info.ResumeAfter
}

// tierOf returns the tier for a rank.
func tierOf(rank int) call.Tier { return min(max(0, call.Tier(rank)), call.MaxTier) }

// prefixHashes returns a hash for each prefix of the prompt that other requests may
// share. It hashes prefixes and not single parts, because a cached part is useful only
// if all parts before it are cached as well.
func prefixHashes(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(parts)-1)
	digest := xxhash.New()
	for _, part := range parts[:len(parts)-1] {
		// Digest.WriteString always returns a nil error.
		_, _ = digest.WriteString(part.ID + "/")
		out = append(out, digest.Sum64())
	}
	return out
}

// sharedTokens returns the length in tokens of the parts that other requests may
// share.
func sharedTokens(parts []PromptPart) int {
	sum := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		sum += part.Tokens
	}
	return sum
}
