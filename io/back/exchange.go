package back

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Exchange is an attempt whose response body is read by the user. The user must call
// End exactly once.
type Exchange struct {
	a   *attempt
	res *http.Response
	// Status and Header are those of the response.
	Status int
	Header http.Header
	// Reused is true if the connection had been used for an earlier request.
	Reused bool
}

// Open sends a request to a backend server exactly once and reads the response header.
// If that fails, the Exchange is nil and the Result says how it failed. The timeout for
// the response header also holds for the body, until SetProgressTimeout.
//
// Errors: the cause of the failure.
func (c *Client) Open(ctx context.Context, t Target, r Request) (*Exchange, Result, error) {
	a := newAttempt(c, ctx, t, r, nil)
	res, err := a.open()
	if err != nil {
		result := a.fail(err)
		a.close()
		return nil, result, errors.Annotatef(err, "Client.Open: replica %q", t.ID)
	}
	a.result.FirstLatency = time.Since(a.started)
	return &Exchange{a: a, res: res, Status: res.StatusCode, Header: a.result.Header, Reused: a.result.Reused}, Result{}, nil
}

// Read reads from the response body. It returns io.EOF at the proper end of the body;
// for a response without a length, that is when the backend server has closed the connection
// in order.
func (x *Exchange) Read(p []byte) (int, error) { return x.res.Body.Read(p) }

// HasDelimitedBody reports whether the end of the body can be distinguished from a lost
// connection.
func (x *Exchange) HasDelimitedBody() bool { return hasDelimitedBody(x.res) }

// SetProgressTimeout sets the longest time without progress, counted from now.
func (x *Exchange) SetProgressTimeout(timeout time.Duration) { x.a.watchdog.setTimeout(timeout) }

// PauseTimeout suspends the progress timeout while the user does not read from the
// response, until ResumeTimeout.
func (x *Exchange) PauseTimeout() { x.a.watchdog.pause() }

// ResumeTimeout restarts the progress timeout from zero.
func (x *Exchange) ResumeTimeout() { x.a.watchdog.resume() }

// End ends the exchange. A nil error means that the response was read to its proper
// end, and the connection may be reused. With an error the connection is closed, which
// makes most backend servers stop the work.
func (x *Exchange) End(err error) Result {
	defer x.a.close()
	if err != nil {
		result := x.a.fail(err)
		// The connection is already closed, so this error carries no information.
		_ = x.res.Body.Close()
		return result
	}
	if err := x.res.Body.Close(); err != nil {
		return x.a.fail(err)
	}
	return x.a.finish()
}
