package back

import (
	"bytes"
	"cmp"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/strict"
)

// drainTimeout limits the wait for the end of the body after a stream's last event.
// The connection can be reused only if the body was read to its end.
const drainTimeout = 100 * time.Millisecond

// keepAliveMargin is how long before the end of a backend server's idle timeout its
// connections get no request any more, as the server may close them before it arrives.
const keepAliveMargin = 200 * time.Millisecond

// Errors of an attempt that are not errors of the connection.
const (
	errTruncated     = errors.ConstError("stream ended without its [DONE] event")
	errUnknownLength = errors.ConstError("response has neither Content-Length nor chunked encoding")
	errTooLarge      = errors.ConstError("response body is larger than Config.MaxBody")
)

// attempt is one request sent by Do or Open.
type attempt struct {
	client    *Client
	callerCtx context.Context
	ctx       context.Context
	cancel    context.CancelCauseFunc
	target    Target
	request   Request
	sink      func(Event) error
	started   time.Time
	watchdog  *watchdog
	result    Result

	conn         *conn
	writesBefore int // the connection's write count before this attempt
	sinkErr      error
}

func newAttempt(c *Client, ctx context.Context, t Target, r Request, sink func(Event) error) *attempt {
	r.FirstByteTimeout = cmp.Or(r.FirstByteTimeout, c.config.FirstByteTimeout)
	r.ProgressTimeout = cmp.Or(r.ProgressTimeout, c.config.ProgressTimeout)
	a := &attempt{client: c, callerCtx: ctx, target: t, request: r, sink: sink, started: time.Now()}
	a.ctx, a.cancel = context.WithCancelCause(ctx)
	a.watchdog = newWatchdog(r.FirstByteTimeout, r.GiveUp, a.cancel)
	return a
}

func (a *attempt) close() {
	a.watchdog.stop()
	a.cancel(nil)
	a.release()
}

// release gives up the connection, if net/http has not yet handed it to another attempt.
func (a *attempt) release() {
	if a.conn != nil {
		a.conn.release(a)
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

// open sends the request and reads the response header.
func (a *attempt) open() (*http.Response, error) {
	transport := a.transport()
	res, err := a.roundTrip(transport)
	// The pool may hold further connections that this side has closed, at most as many as
	// fit into it.
	for try := 0; a.closedUnused(err) && try <= a.client.config.MaxIdleConns; try++ {
		a.release()
		a.conn = nil
		if try == a.client.config.MaxIdleConns {
			transport = a.client.unpooled
		}
		res, err = a.roundTrip(transport)
	}
	if err != nil {
		return nil, errors.Trace(err)
	}
	if timeout, ok := keepAliveTimeout(res.Header); ok && a.conn != nil {
		a.conn.limitIdle(timeout - keepAliveMargin)
	}
	a.result.Status = res.StatusCode
	a.result.Header = endToEnd(res.Header)
	return res, nil
}

func (a *attempt) roundTrip(transport *http.Transport) (*http.Response, error) {
	req, err := a.newRequest()
	if err != nil {
		return nil, errors.Trace(err)
	}
	res, err := transport.RoundTrip(req)
	return res, errors.Trace(err)
}

// closedUnused reports whether this side had closed the idle connection that the request
// was to be sent on, or bytes that answer no request had arrived on it, so that certainly
// no byte of the request was sent. Another attempt closes
// connections if its response turns out to be incomplete at its end or its connection is
// silent, when net/http may have handed them to this attempt already.
func (a *attempt) closedUnused(err error) bool {
	closed := errors.Is(err, net.ErrClosed) || errors.Is(err, errSealed) || errors.Is(err, strict.ErrResponse)
	return closed && a.ctx.Err() == nil && a.conn != nil && !a.mayHaveWritten()
}

// transport returns the transport with which net/http cannot replay this request.
// net/http replays a request only on a reused connection, and only if it can produce
// the body again. A body without GetBody prevents that; newRequest gives GET and HEAD
// an empty one. Any other request without a body uses a new connection instead.
func (a *attempt) transport() *http.Transport {
	if a.request.NewConnection || len(a.request.Body) == 0 && !isBodyless(a.request.Method) {
		return a.client.unpooled
	}
	return a.client.pooled
}

func isBodyless(method string) bool {
	return method == "" || method == http.MethodGet || method == http.MethodHead
}

func (a *attempt) newRequest() (*http.Request, error) {
	path, err := targetURL(a.request.Path)
	if err != nil {
		return nil, errors.Trace(err)
	}
	path.Host = a.target.Address.String()
	host := cmp.Or(a.request.Host, path.Host)
	ctx := httptrace.WithClientTrace(a.ctx, &httptrace.ClientTrace{GotConn: a.gotConn})
	req := (&http.Request{
		Method: a.request.Method, URL: path, Host: host,
		Proto: "HTTP/1.1", ProtoMajor: 1, ProtoMinor: 1,
		Header: endToEnd(a.request.Header),
	}).WithContext(ctx)
	if len(a.request.Body) > 0 || isBodyless(a.request.Method) {
		// GetBody stays nil, so that net/http cannot produce the body again.
		req.Body = io.NopCloser(bytes.NewReader(a.request.Body))
		req.ContentLength = int64(len(a.request.Body))
	}
	return req, nil
}

// gotConn is called on the attempt's goroutine before the request is written.
func (a *attempt) gotConn(info httptrace.GotConnInfo) {
	c, ok := info.Conn.(*conn)
	if !ok {
		return
	}
	a.conn = c
	a.writesBefore = c.acquire(a)
	a.result.Reused = info.Reused
	a.watchdog.setConn(c)
	a.watchdog.setTimeout(a.headerTimeout())
}

// headerTimeout returns the longest time without progress before the response header. A
// request waiting in an engine's queue looks the same as a connection that was lost while
// idle, so only a new connection gets the longer timeout.
func (a *attempt) headerTimeout() time.Duration {
	if a.result.Reused {
		return min(a.request.FirstByteTimeout, a.request.ProgressTimeout)
	}
	return a.request.FirstByteTimeout
}

// finish returns the result of an attempt that got a complete response.
func (a *attempt) finish() Result {
	a.result.BytesWritten = a.mayHaveWritten()
	a.result.Total = time.Since(a.started)
	a.result.Ending = EndingComplete
	if a.isRefusal() {
		a.result.Ending = EndingRefused
	}
	return a.result
}

func (a *attempt) isRefusal() bool {
	busy := a.result.Status == http.StatusTooManyRequests || a.result.Status == http.StatusServiceUnavailable
	return busy && a.result.Header.Get(a.client.config.NotRunHeader) != ""
}

// fail returns the result of an attempt that got no complete response, and closes its
// connection, unless another attempt uses it already.
func (a *attempt) fail(err error) Result {
	silent := a.watchdog.stop()
	a.result.BytesWritten = a.mayHaveWritten()
	a.result.Total = time.Since(a.started)
	a.result.Ending = a.ending(err, silent)
	if a.conn != nil {
		a.result.Fault = a.conn.Fault()
	}
	if reason := a.result.Broken(); reason != "" && a.client.config.ResponseBroken != nil {
		a.client.config.ResponseBroken(reason)
	}
	if a.conn != nil && a.conn.seal(a) {
		a.client.conns.close(a.conn)
	}
	if a.result.Ending == EndingSilent {
		a.client.conns.closeIdle(a.target)
	}
	return a.result
}

// mayHaveWritten reports whether any byte may have been written to the connection. If
// none has, it seals the connection, so that none will be.
func (a *attempt) mayHaveWritten() bool {
	return a.conn != nil && !a.conn.sealUnwritten(a.writesBefore)
}

func (a *attempt) ending(err error, silent bool) Ending {
	switch {
	case a.sinkErr != nil:
		return EndingSink
	case a.callerCtx.Err() != nil:
		return EndingCancelled
	case a.conn == nil:
		return EndingUnreachable
	case silent:
		return EndingSilent
	case errors.Is(err, errTruncated), errors.Is(err, errUnknownLength):
		return EndingTruncated
	case a.conn.broken.Load():
		return EndingCrashed
	}
	return EndingMalformed
}
