package back

import (
	"context"
	"net/http"

	"github.com/juju/errors"
)

// Client sends requests to backend servers. It may be used by several goroutines.
type Client struct {
	c      Config
	conns  *conns
	pooled *http.Transport
	fresh  *http.Transport
}

// New returns a client.
//
// Errors: NotValid for a configuration that is not.
func New(c Config) (*Client, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "New")
	}
	out := &Client{c: c, conns: newConns(c)}
	out.pooled = out.newTransport(false)
	out.fresh = out.newTransport(true)
	return out, nil
}

func (c *Client) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            c.conns.dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    c.c.MaxIdleConns,
		IdleConnTimeout:        c.c.IdleTimeout,
		MaxResponseHeaderBytes: c.c.MaxHeader,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.fresh.CloseIdleConnections()
}

// Do sends a request to a backend server, once. The events of a streamed answer
// are passed to the sink one by one; any other answer is in the result.
//
// Errors: nil where an answer came whole or the request was refused by contract,
// whatever its status; else the cause, with Result.Ending saying which kind.
func (c *Client) Do(ctx context.Context, t Target, r Request, sink func(Event) error) (Result, error) {
	a := newAttempt(c, ctx, t, r, sink)
	defer a.close()
	if err := a.run(); err != nil {
		return a.fail(err), errors.Annotatef(err, "Client.Do: replica %q", t.ID)
	}
	return a.finish(), nil
}
