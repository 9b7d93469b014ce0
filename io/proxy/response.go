package proxy

import (
	"io"
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// closeConnection tells the caller that the connection closes after this response,
// so that its next request uses another one.
func (p *proxyRequest) closeConnection() { p.w.Header().Set("Connection", "close") }

// writeHeader writes the status and header of a replica's response.
func (p *proxyRequest) writeHeader(status int, header http.Header) {
	header = header.Clone()
	p.s.c.Headers.CleanResponse(header)
	maps.Copy(p.w.Header(), header)
	if _, ok := header["Date"]; !ok {
		// Keeps net/http from adding a Date that the replica did not send.
		p.w.Header()["Date"] = nil
	}
	p.status = status
	p.w.WriteHeader(status)
}

// writeResponse writes a response that is not a stream, with its Content-Length. The
// response to HEAD keeps the replica's.
func (p *proxyRequest) writeResponse(res *response) error {
	p.firstAt = p.s.c.Now()
	if p.r.Method != http.MethodHead {
		res.header.Set("Content-Length", strconv.Itoa(len(res.body)))
	}
	p.writeHeader(res.status, res.header)
	_, err := p.w.Write(res.body)
	return errors.Annotate(err, "writing to the caller")
}

// writeReplicaFailure forwards an error response of the replica. Statuses that tell
// the caller that the request was not run are not forwarded, because that is not
// known here: the caller gets 502 instead.
func (p *proxyRequest) writeReplicaFailure(e *attemptResult) {
	if impliesNotRun(e.replicaFailure.status) {
		p.refuse(http.StatusBadGateway, ReasonAnswerLost)
		return
	}
	if err := p.writeResponse(e.replicaFailure); err != nil {
		e.callerGone = true
	}
	p.finished(ReasonReplicaFailed)
}

// impliesNotRun reports whether callers take a status as a guarantee that the
// request has not run and never will.
func impliesNotRun(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// abort closes the connection, so that an incomplete response does not look complete.
func (p *proxyRequest) abort(reason Reason) {
	p.status = 0
	p.finished(reason)
	panic(http.ErrAbortHandler)
}

// refuse ends the request with a response of the router itself.
func (p *proxyRequest) refuse(status int, reason Reason) {
	h, text := p.w.Header(), string(reason)+"\n"
	h.Set("Content-Type", "text/plain; charset=utf-8")
	h.Set("Content-Length", strconv.Itoa(len(text)))
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter(reason).Seconds(), 'f', 3, 64))
	}
	p.status = status
	p.w.WriteHeader(status)
	if _, err := p.w.Write([]byte(text)); err != nil {
		p.log("write").WithError(err).Debug("cannot write the refusal to the caller")
	}
	if p.bodyUnread {
		p.discardBody()
	}
	p.finished(reason)
}

// discardBody sends the refusal and reads on for a moment: a connection that is closed with
// unread bytes is reset, and the caller may lose the refusal. net/http reads nothing more
// if the caller has asked for the connection to be closed.
func (p *proxyRequest) discardBody() {
	control := http.NewResponseController(p.w)
	if control.Flush() != nil || control.SetReadDeadline(time.Now().Add(refusalLinger)) != nil {
		return
	}
	_, _ = io.Copy(io.Discard, p.r.Body)
}

const (
	// maxWaitFraction is the largest fraction of its remaining time that a caller is
	// told to wait before a retry.
	maxWaitFraction = 1.0 / 3
	// minWaitFraction is the smallest fraction of the longest wait that a refused
	// caller is told to wait; the waits are spread between it and the longest.
	minWaitFraction = 0.4
)

// retryAfter returns how long a refused caller should wait before a retry. The waits
// are random, so that callers refused together do not retry together, and short
// enough for the caller's deadline. A caller refused because replicas are full, have named
// limits, refused the request or crashed under it or a part of it waits longer than one
// refused for a reason that passes quickly.
func (p *proxyRequest) retryAfter(reason Reason) time.Duration {
	longest := p.s.c.MaxRetryAfter
	if reason == ReasonOverTeamShare {
		return p.shareRetryAfter()
	}
	switch reason {
	case ReasonAllReplicasFull, ReasonLimited, ReasonReplicasRefused, ReasonCrashedReplicas, ReasonCrashingPart:
		longest = p.s.c.MaxBusyRetryAfter
	}
	if !p.deadline.IsZero() {
		left := time.Duration(maxWaitFraction * float64(p.deadline.Sub(p.s.c.Now())))
		longest = max(0, min(longest, left))
	}
	return time.Duration((minWaitFraction + (1-minWaitFraction)*p.s.c.Random()) * 0.95 * float64(longest))
}
