package back

import (
	"context"
	"net/http"

	"github.com/juju/errors"
)

// Client sends requests to backend servers. It is safe for concurrent use.
type Client struct {
	config   Config
	conns    *connTracker
	pooled   *http.Transport
	unpooled *http.Transport
	bodies   bodyMemory
}

// New returns a client.
//
// Errors: NotValid, from Config.Validate.
func New(c Config) (*Client, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "New")
	}
	out := &Client{config: c, conns: newConnTracker(c), bodies: bodyMemory{limit: c.MaxBodies}}
	out.pooled = out.newTransport(false)
	out.unpooled = out.newTransport(true)
	return out, nil
}

func (c *Client) newTransport(fresh bool) *http.Transport {
	return &http.Transport{
		DialContext:            c.conns.dial,
		DisableCompression:     true,
		DisableKeepAlives:      fresh,
		MaxIdleConnsPerHost:    c.config.MaxIdleConns,
		IdleConnTimeout:        c.config.IdleTimeout,
		MaxResponseHeaderBytes: c.config.MaxHeader,
	}
}

// Close closes the idle connections.
func (c *Client) Close() {
	c.pooled.CloseIdleConnections()
	c.unpooled.CloseIdleConnections()
}

// Do sends a request to a backend server exactly once, without replays. The events of
// a streamed response are passed to the sink one by one; the body of any other response
// is in the result.
//
// Errors: nil if the response was complete, whatever its status, also for
// EndingRefused; otherwise the cause, and Result.Ending classifies it.
func (c *Client) Do(ctx context.Context, t Target, r Request, sink func(Event) error) (Result, error) {
	a := newAttempt(c, ctx, t, r, sink)
	defer a.close()
	if err := a.run(); err != nil {
		return a.fail(err), errors.Annotatef(err, "Client.Do: replica %q", t.ID)
	}
	return a.finish(), nil
}
