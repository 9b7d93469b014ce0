package back

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"time"

	"github.com/juju/errors"
)

// drainTimeout bounds the wait for the end of a stream after its last event, so
// that the connection can be used again.
const drainTimeout = 100 * time.Millisecond

// The errors of an attempt that are no connection's.
const (
	errTruncated = errors.ConstError("answer ended without its end mark")
	errNoLength  = errors.ConstError("answer has neither length nor chunks")
	errTooLarge  = errors.ConstError("answer is larger than the limit")
)

// attempt is one Do.
type attempt struct {
	client  *Client
	parent  context.Context
	ctx     context.Context
	end     context.CancelCauseFunc
	target  Target
	request Request
	sink    func(Event) error
	started time.Time
	watch   *watchdog
	result  Result

	conn    *conn
	since   int // the connection's writes before this attempt
	sinkErr error
}

func newAttempt(c *Client, ctx context.Context, t Target, r Request, sink func(Event) error) *attempt {
	r.FirstByteTimeout = cmp.Or(r.FirstByteTimeout, c.c.FirstByteTimeout)
	r.ProgressTimeout = cmp.Or(r.ProgressTimeout, c.c.ProgressTimeout)
	a := &attempt{client: c, parent: ctx, target: t, request: r, sink: sink, started: time.Now()}
	a.ctx, a.end = context.WithCancelCause(ctx)
	a.watch = newWatchdog(r.FirstByteTimeout, a.end)
	return a
}

func (a *attempt) close() {
	a.watch.stop()
	a.end(nil)
	if a.conn != nil {
		a.conn.active.Store(false)
	}
}

func (a *attempt) run() error {
	res, err := a.open()
	if err != nil {
		return errors.Trace(err)
	}
	defer func() { _ = res.Body.Close() }()
	if isStream(res) && a.sink != nil {
		return a.readStream(res)
	}
	return a.readBody(res)
}

// open sends the request and reads the answer's head.
func (a *attempt) open() (*http.Response, error) {
	req, err := a.newRequest()
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := a.transport().RoundTrip(req)
	if err != nil {
		return nil, errors.Trace(err)
	}
	a.result.Status = res.StatusCode
	a.result.Header = endToEnd(res.Header)
	return res, nil
}

// transport returns the transport without replay for this request. net/http
// replays only on a connection that was used before, and only where it can
// produce the body again: a body without GetBody, or a fresh connection where
// there is no body, rules it out.
func (a *attempt) transport() *http.Transport {
	if a.request.NewConnection || len(a.request.Body) == 0 && !lacksBody(a.request.Method) {
		return a.client.fresh
	}
	return a.client.pooled
}

func lacksBody(method string) bool {
	return method == "" || method == http.MethodGet || method == http.MethodHead
}

func (a *attempt) newRequest() (*http.Request, error) {
	path, err := url.ParseRequestURI(a.request.Path)
	if err != nil {
		return nil, errors.NotValidf("path %q", a.request.Path)
	}
	path.Scheme = "http"
	path.Host = a.target.Address.String()
	host := cmp.Or(a.request.Host, path.Host)
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	req := (&http.Request{
		Method: a.request.Method, URL: path, Host: host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(a.request.Header),
	}).WithContext(ctx)
	if len(a.request.Body) > 0 || lacksBody(a.request.Method) {
		// Without GetBody net/http cannot produce the body again.
		req.Body = io.NopCloser(bytes.NewReader(a.request.Body))
		req.ContentLength = int64(len(a.request.Body))
	}
	return req, nil
}

// gotConn runs on the attempt's goroutine before the request is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	c.active.Store(true)
	a.conn = c
	a.since = c.count()
	a.result.Reused = info.Reused
	a.watch.watch(c)
	if info.Reused {
		// The wait for an engine's queue and the silence of a connection that was
		// lost while idle look alike; only a new connection gets the longer time.
		a.watch.limit(min(a.request.FirstByteTimeout, a.request.ProgressTimeout))
	}
}

// finish returns the result of an attempt that got a whole answer.
func (a *attempt) finish() Result {
	a.result.BytesWritten = a.wrote()
	a.result.Total = time.Since(a.started)
	a.result.Ending = EndingComplete
	if a.refused() {
		a.result.Ending = EndingRefused
	}
	return a.result
}

func (a *attempt) refused() bool {
	busy := a.result.Status == http.StatusTooManyRequests || a.result.Status == http.StatusServiceUnavailable
	return busy && a.result.Header.Get(a.client.c.NotRunHeader) != ""
}

// fail returns the result of an attempt that got no whole answer; its connection
// is not used again.
func (a *attempt) fail(err error) Result {
	silent := a.watch.stop()
	a.result.BytesWritten = a.wrote()
	a.result.Total = time.Since(a.started)
	a.result.Ending = a.ending(err, silent)
	if a.conn != nil {
		a.client.conns.close(a.conn)
	}
	if a.result.Ending == EndingSilent {
		a.client.conns.distrust(a.target)
	}
	return a.result
}

// wrote reports whether a byte may have reached the connection; where none has,
// it makes sure that none will.
func (a *attempt) wrote() bool { return a.conn != nil && !a.conn.sealUnwritten(a.since) }

func (a *attempt) ending(err error, silent bool) Ending {
	switch {
	case a.sinkErr != nil:
		return EndingSink
	case a.parent.Err() != nil:
		return EndingCancelled
	case a.conn == nil:
		return EndingUnreachable
	case silent:
		return EndingSilent
	case errors.Is(err, errTruncated), errors.Is(err, errNoLength):
		return EndingTruncated
	case a.conn.broken.Load():
		return EndingCrashed
	}
	return EndingMalformed
}
