package kvs

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"

	"github.com/juju/errors"

	"gentianwell/io/kvwire"
	"gentianwell/io/strict"
)

// maxErrorBody limits how many bytes of an error response's body are read.
const maxErrorBody = 4 << 10

// Gateway is a client of the JSON gateway of etcd v3.
type Gateway struct {
	config GatewayConfig
	client *http.Client
	// lastResponded is the index of the address that last responded successfully.
	lastResponded atomic.Uint32
}

// NewGateway returns a client without opening a connection. If the config isn't valid,
// every call fails.
func NewGateway(c GatewayConfig) *Gateway {
	c = c.Defaults()
	transport := &http.Transport{
		DialContext: func(ctx context.Context, _, address string) (net.Conn, error) {
			to, err := netip.ParseAddrPort(address)
			if err != nil {
				return nil, errors.Trace(err)
			}
			ctx, cancel := context.WithTimeout(ctx, c.DialTimeout)
			defer cancel()
			conn, err := c.Dial(ctx, to)
			if err != nil {
				return nil, errors.Trace(err)
			}
			return &countingConn{Conn: strict.New(conn)}, nil
		},
		MaxIdleConnsPerHost: maxIdleConnections,
		DisableCompression:  true,
	}
	return &Gateway{config: c, client: &http.Client{Transport: transport}}
}

// Service returns the client's calls.
func (g *Gateway) Service() Service {
	return Service{
		Get: g.get, List: g.list, Transact: g.transact,
		Grant: g.grant, Renew: g.renew, Revoke: g.revoke, Watch: g.watch,
	}
}

// Close closes the idle connections.
func (g *Gateway) Close() { g.client.CloseIdleConnections() }

// post makes one call and decodes the response.
//
// Errors: ErrUnavailable if nothing was written to any address or the service
// refused the call before any effect, ErrLeaseLapsed, otherwise ErrUnknown.
func (g *Gateway) post(ctx context.Context, path string, in, out any) error {
	ctx, cancel := context.WithTimeout(ctx, g.config.Timeout)
	defer cancel()
	resp, err := g.open(ctx, path, in)
	if err != nil {
		return errors.Trace(err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, g.config.MaxResponseBytes+1))
	if err != nil {
		return errors.WithType(errors.Annotate(err, path), ErrUnknown)
	}
	if int64(len(body)) > g.config.MaxResponseBytes {
		return errors.Annotatef(ErrUnknown, "%s: response exceeds %d bytes", path, g.config.MaxResponseBytes)
	}
	if err := json.Unmarshal(body, out); err != nil {
		return errors.WithType(errors.Annotate(err, path), ErrUnknown)
	}
	return nil
}

// open sends the request to one address after the other, as long as the errors are
// ErrUnavailable and ctx has not ended. After any other error the request is not sent
// again, since it may have had its effect.
func (g *Gateway) open(ctx context.Context, path string, in any) (*http.Response, error) {
	if err := g.config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	body, err := json.Marshal(in)
	if err != nil {
		return nil, errors.Trace(err)
	}
	first := g.lastResponded.Load()
	lastErr := error(ErrUnavailable)
	for i := range g.config.Addresses {
		index := (int(first) + i) % len(g.config.Addresses)
		resp, err := g.send(ctx, "http://"+g.config.Addresses[index].String()+path, body)
		if err == nil {
			g.lastResponded.Store(uint32(index))
			return resp, nil
		}
		lastErr = err
		if !errors.Is(err, ErrUnavailable) || ctx.Err() != nil {
			break
		}
	}
	return nil, errors.Annotate(lastErr, path)
}

func (g *Gateway) send(ctx context.Context, url string, body []byte) (*http.Response, error) {
	tracker := &writeTracker{}
	ctx = httptrace.WithClientTrace(ctx, tracker.trace())
	// NopCloser hides the type of the reader, so that the request gets no GetBody.
	// Without one, net/http never sends the body a second time.
	reader := io.NopCloser(bytes.NewReader(body))
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, reader)
	if err != nil {
		return nil, errors.Trace(err)
	}
	req.ContentLength = int64(len(body))
	req.Header.Set("Content-Type", "application/json")
	resp, err := g.client.Do(req)
	if err != nil && tracker.nothingWritten() {
		return nil, errors.WithType(err, ErrUnavailable)
	}
	if err != nil {
		return nil, errors.WithType(err, ErrUnknown)
	}
	if resp.StatusCode != http.StatusOK {
		return nil, errors.Trace(statusError(resp))
	}
	return resp, nil
}

// statusError returns the error for a response with another status than 200. A 503 is
// ErrUnknown, since the service also uses it for its own timeouts. ErrUnavailable is
// only for refusals before any effect.
func statusError(resp *http.Response) error {
	defer resp.Body.Close()
	var e kvwire.ErrorResponse
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxErrorBody))
	if err != nil {
		return errors.WithType(err, ErrUnknown)
	}
	if err := json.Unmarshal(body, &e); err != nil {
		return errors.Annotatef(ErrUnknown, "status %d", resp.StatusCode)
	}
	kind := ErrUnknown
	switch {
	case e.Code == kvwire.CodeNotFound:
		kind = ErrLeaseLapsed
	case e.Code == kvwire.CodeResourceExhausted, resp.StatusCode == http.StatusBadRequest:
		kind = ErrUnavailable
	}
	return errors.Annotatef(kind, "status %d: %s", resp.StatusCode, e.Message)
}
