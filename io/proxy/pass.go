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
	"gentianwell/core/table"
)

// pass is one request on its way.
type pass struct {
	s *Server
	w http.ResponseWriter
	r *http.Request

	arrived time.Time
	// until is when the final answer is due.
	until time.Time
	ask   RequestInfo
	table *table.Table
	route *table.Route
	team  *table.Team
	body  []byte
	call  call.Call

	// sends counts the times it was sent, ran those of them that may have run it.
	sends, ran int
	// tried holds the replicas that failed or refused it.
	tried   []call.ReplicaID
	replica call.ReplicaID
	// started is true where a part of the answer has been passed on; lastEvent is
	// the id of the last event of it.
	started   bool
	lastEvent string
	firstAt   time.Time
	events    int
	// written is the status that the caller got, zero where the answer was cut.
	written int
	last    attemptEnd
	// noPlace is what the router said when it had no replica for the request.
	noPlace error
}

// errTimeUp is the cause of a request's end when its time is over.
const errTimeUp = errors.ConstError("the caller's deadline or the route's timeout is over")

// serve takes the request to its final answer.
func (p *pass) serve() {
	if status, reason := p.prepare(); status != 0 {
		p.refuse(status, reason)
		return
	}
	ctx, cancel := context.WithDeadlineCause(p.r.Context(), p.until, errTimeUp)
	defer cancel()
	p.run(ctx)
}

// prepare finds out what the request is. It returns a status and a reason where
// it is refused.
func (p *pass) prepare() (int, Reason) {
	if framedTwice(p.r) {
		p.close()
		return http.StatusBadRequest, ReasonMalformed
	}
	var err error
	if p.ask, err = p.s.c.Headers.ReadRequest(p.r.Header); err != nil {
		return http.StatusBadRequest, ReasonMalformed
	}
	p.until = p.arrived.Add(cmp.Or(p.ask.Timeout, defaultPatience))
	if p.table = p.s.c.Table(); p.table == nil {
		return http.StatusServiceUnavailable, ReasonNoTable
	}
	if status, reason := p.find(); status != 0 {
		return status, reason
	}
	if p.route.Timeout > 0 {
		p.until = earlier(p.until, p.arrived.Add(p.route.Timeout))
	}
	if status, reason := p.readBody(); status != 0 {
		return status, reason
	}
	p.describe()
	return 0, ""
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// find looks up the route and the team. What the table does not have is only
// refused for good where the table is known to be the newest.
func (p *pass) find() (int, Reason) {
	var ok bool
	if p.route, ok = p.table.Match(p.r.Host, p.path()); !ok {
		if !p.s.c.TableIsCurrent() {
			return http.StatusServiceUnavailable, ReasonTableMayBeOld
		}
		return http.StatusNotFound, ReasonNoRoute
	}
	if !p.table.NeedsKey(p.route) {
		return 0, ""
	}
	if p.team, ok = p.table.Team(p.ask.Key); !ok {
		if !p.s.c.TableIsCurrent() {
			return http.StatusServiceUnavailable, ReasonTableMayBeOld
		}
		return http.StatusUnauthorized, ReasonUnknownKey
	}
	return 0, ""
}

// path returns the path as the caller wrote it, without a query.
func (p *pass) path() string {
	path, _, _ := strings.Cut(p.target(), "?")
	return path
}

// target returns path and query as the caller wrote them.
func (p *pass) target() string {
	if strings.HasPrefix(p.r.RequestURI, "/") {
		return p.r.RequestURI
	}
	return p.r.URL.RequestURI()
}

func (p *pass) readBody() (int, Reason) {
	if p.r.Body == nil || p.r.Body == http.NoBody {
		return 0, ""
	}
	limit := p.table.BodyBytes()
	if limit > 0 && p.r.ContentLength > limit {
		p.close()
		return http.StatusRequestEntityTooLarge, ReasonTooLarge
	}
	body := io.Reader(p.r.Body)
	if limit > 0 {
		body = http.MaxBytesReader(p.w, p.r.Body, limit)
	}
	control := http.NewResponseController(p.w)
	if err := control.SetReadDeadline(p.until); err != nil {
		p.log("readDeadline").WithError(err).Warn("no deadline for the body")
	}
	var err error
	if p.body, err = readAll(body, p.r.ContentLength); err != nil {
		var tooLarge *http.MaxBytesError
		p.close()
		if errors.As(err, &tooLarge) {
			return http.StatusRequestEntityTooLarge, ReasonTooLarge
		}
		// The caller left or stopped in the middle of its request.
		return http.StatusBadRequest, ReasonMalformed
	}
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		p.log("readDeadline").WithError(err).Warn("deadline for the body stays")
	}
	return 0, ""
}

// presizeBytes bounds the memory that is set aside on a caller's word alone.
const presizeBytes = 1 << 20

func readAll(from io.Reader, length int64) ([]byte, error) {
	if length <= 0 || length > presizeBytes {
		return io.ReadAll(from)
	}
	body := make([]byte, length)
	if _, err := io.ReadFull(from, body); err != nil {
		return nil, err
	}
	// The reader finds out about the end only by reading on.
	_, err := io.ReadAll(from)
	return body, err
}

// describe makes the call that the decisions are about.
func (p *pass) describe() {
	rank := p.table.Rank(p.team, p.route)
	p.call = call.Call{
		ID: p.ask.ID, Class: call.Class(p.route.Name), Tier: tier(rank), Model: p.route.Choose(p.s.c.Random()),
		Zone: p.s.c.Zone, Idempotent: p.route.Repeatable(), Prefixes: prefixes(p.ask.Parts),
		SharedTokens: shared(p.ask.Parts), PromptTokens: p.ask.PromptTokens, MaxTokens: p.ask.MaxTokens,
		Arrived: p.arrived, Deadline: p.until,
	}
	if p.team != nil {
		p.call.Team = p.team.Name
	}
	p.lastEvent = p.ask.ResumeAfter
}

// tier maps a rank to a tier.
func tier(rank int) call.Tier { return min(max(0, call.Tier(rank)), call.MaxTier) }

// prefixes returns a hash for each prefix that the prompt may share: a cached
// part is of use only where all parts before it are cached as well.
func prefixes(parts []PromptPart) []uint64 {
	if len(parts) < 2 {
		return nil
	}
	out := make([]uint64, 0, len(parts)-1)
	digest := xxhash.New()
	for _, part := range parts[:len(parts)-1] {
		// Writing to a digest cannot fail; see its documentation.
		_, _ = digest.WriteString(part.ID + "/")
		out = append(out, digest.Sum64())
	}
	return out
}

// shared returns the tokens of the parts that other requests may have as well.
func shared(parts []PromptPart) int {
	sum := 0
	for _, part := range parts[:max(0, len(parts)-1)] {
		sum += part.Tokens
	}
	return sum
}
