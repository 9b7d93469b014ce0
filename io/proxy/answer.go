package proxy

import (
	"maps"
	"net/http"
	"strconv"
	"time"

	"github.com/juju/errors"
)

// close asks the caller to send its next request on another connection.
func (p *pass) close() { p.w.Header().Set("Connection", "close") }

// head writes the status and header of a replica's answer.
func (p *pass) head(status int, header http.Header) {
	header = header.Clone()
	p.s.c.Headers.CleanResponse(header)
	maps.Copy(p.w.Header(), header)
	if _, ok := header["Date"]; !ok {
		// Keeps net/http from adding what the replica did not send.
		p.w.Header()["Date"] = nil
	}
	p.written = status
	p.w.WriteHeader(status)
}

// passOn writes an answer in one piece, its length included.
func (p *pass) passOn(a *answer) error {
	p.firstAt = p.s.c.Now()
	a.header.Set("Content-Length", strconv.Itoa(len(a.body)))
	p.head(a.status, a.header)
	_, err := p.w.Write(a.body)
	return errors.Annotate(err, "writing to the caller")
}

// passFailure passes on a failure that the replica itself answered. Statuses that
// promise that nothing was run are passed on only where that is so, and here it
// is not known.
func (p *pass) passFailure(e *attemptEnd) {
	if promises(e.whole.status) {
		p.refuse(http.StatusBadGateway, ReasonAnswerLost)
		return
	}
	if err := p.passOn(e.whole); err != nil {
		e.callerGone = true
	}
	p.finished(ReasonReplicaFailed)
}

// promises reports whether callers take a status for a promise that the request
// has not run and never will.
func promises(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests, http.StatusServiceUnavailable:
		return true
	}
	return false
}

// cut breaks the connection off, so that an answer that is not whole does not
// look whole.
func (p *pass) cut(reason Reason) {
	p.written = 0
	p.finished(reason)
	panic(http.ErrAbortHandler)
}

// refuse writes a final answer of the router's own.
func (p *pass) refuse(status int, reason Reason) {
	h := p.w.Header()
	h.Set("Content-Type", "text/plain; charset=utf-8")
	if status == http.StatusServiceUnavailable || status == http.StatusTooManyRequests {
		h.Set("Retry-After", strconv.FormatFloat(p.retryAfter(reason).Seconds(), 'f', 3, 64))
	}
	p.written = status
	p.w.WriteHeader(status)
	if _, err := p.w.Write([]byte(string(reason) + "\n")); err != nil {
		p.log("write").WithError(err).Debug("refusal not delivered")
	}
	p.finished(reason)
}

const (
	// patienceShare is the part of its time left that a caller waits at most when
	// it is told to come back.
	patienceShare = 1.0 / 3
	// soonest is the least part of the time that a refused caller is told to wait;
	// between it and the whole the returns are spread.
	soonest = 0.4
)

// retryAfter returns when a refused caller may come back: spread, so that callers
// who were refused together do not return together, and early enough for each to
// wait for it. A caller refused for want of room comes back later than one refused
// for a reason that passes quickly.
func (p *pass) retryAfter(reason Reason) time.Duration {
	longest := p.s.c.MaxRetryAfter
	if reason == ReasonAllReplicasFull || reason == ReasonReplicasRefused {
		longest = p.s.c.MaxBusyRetryAfter
	}
	if !p.until.IsZero() {
		left := time.Duration(patienceShare * float64(p.until.Sub(p.s.c.Now())))
		longest = max(0, min(longest, left))
	}
	return time.Duration((soonest + (1-soonest)*p.s.c.Random()) * 0.95 * float64(longest))
}
