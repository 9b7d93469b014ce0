package back

import (
	"context"
	"net/http"
	"time"

	"github.com/juju/errors"
)

// Exchange is an attempt whose answer is read piece by piece. Its user calls End
// exactly once.
type Exchange struct {
	a   *attempt
	res *http.Response
	// Status and Header are those of the answer.
	Status int
	Header http.Header
}

// Open sends a request to a backend server, once, and reads the head of the
// answer. Where that fails the Result says how, and there is no Exchange.
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
	return &Exchange{a: a, res: res, Status: res.StatusCode, Header: a.result.Header}, Result{}, nil
}

// Read reads from the answer's body; io.EOF is its proper end. Where the answer
// has no length its proper end is that of the connection.
func (x *Exchange) Read(p []byte) (int, error) { return x.res.Body.Read(p) }

// SetProgressTimeout sets the longest silence from now on.
func (x *Exchange) SetProgressTimeout(silence time.Duration) { x.a.watch.limit(silence) }

// PauseTimeout suspends the watch for silence while somebody else has the turn; Resume
// goes on with it.
func (x *Exchange) PauseTimeout() { x.a.watch.pause() }

// ResumeTimeout goes on with the watch for silence.
func (x *Exchange) ResumeTimeout() { x.a.watch.resume() }

// End ends the exchange. With nil the answer was read to its proper end, and the
// connection may be used again; with an error it is closed, which tells most
// backend servers to stop the work.
func (x *Exchange) End(err error) Result {
	defer x.a.close()
	if err != nil {
		result := x.a.fail(err)
		// The connection is closed, so that there is nothing to learn from this.
		_ = x.res.Body.Close()
		return result
	}
	if err := x.res.Body.Close(); err != nil {
		return x.a.fail(err)
	}
	return x.a.finish()
}
