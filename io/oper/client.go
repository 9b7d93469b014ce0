package oper

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"net/netip"
	"net/url"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/tree"
)

// ErrUnreachable means that no complete response came from the entry VM.
const ErrUnreachable = errors.ConstError("the entry VM cannot be reached")

// maxResponseBytes is the maximum number of bytes that are read of a response.
const maxResponseBytes = 16 << 20

// Client calls the operators' interface of one entry VM.
type Client struct {
	Address netip.AddrPort
	// Key is the operator's bearer key.
	Key string
	// HTTP sends the requests; nil means http.DefaultClient.
	HTTP *http.Client
}

// Document returns the document in force on the VM.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) Document(ctx context.Context) (tree.Document, error) {
	var raw json.RawMessage
	if err := c.do(ctx, http.MethodGet, pathSettings, nil, &raw); err != nil {
		return tree.Document{}, err
	}
	return tree.ParseDocument(raw)
}

// Effective returns the values in effect for a class of a team. Both may be empty.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) Effective(ctx context.Context, team call.Team, class call.Class) (Effective, error) {
	query := url.Values{"team": {string(team)}, "class": {string(class)}}
	var response Effective
	err := c.do(ctx, http.MethodGet, pathEffective+"?"+query.Encode(), nil, &response)
	return response, err
}

// History returns the changes that the history holds.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) History(ctx context.Context) (History, error) {
	var response History
	err := c.do(ctx, http.MethodGet, pathHistory, nil, &response)
	return response, err
}

// Versions returns the version in force on each entry VM.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) Versions(ctx context.Context) (VMVersions, error) {
	var response VMVersions
	err := c.do(ctx, http.MethodGet, pathVersions, nil, &response)
	return response, err
}

// Change makes a change.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) Change(ctx context.Context, req ChangeRequest) (ChangeResponse, error) {
	var response ChangeResponse
	err := c.do(ctx, http.MethodPost, pathChanges, req, &response)
	return response, err
}

// Undo undoes an earlier change.
//
// Errors: *Failure, ErrUnreachable.
func (c *Client) Undo(ctx context.Context, req UndoRequest) (ChangeResponse, error) {
	var response ChangeResponse
	err := c.do(ctx, http.MethodPost, pathUndo, req, &response)
	return response, err
}

func (c *Client) do(ctx context.Context, method, path string, in, out any) error {
	var body bytes.Buffer
	if in != nil {
		if err := json.NewEncoder(&body).Encode(in); err != nil {
			return errors.Annotate(err, "Client.do")
		}
	}
	req, err := http.NewRequestWithContext(ctx, method, "http://"+c.Address.String()+path, &body)
	if err != nil {
		return errors.Annotate(err, "Client.do")
	}
	req.Header.Set("Authorization", "Bearer "+c.Key)
	resp, err := c.client().Do(req)
	if err != nil {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	defer resp.Body.Close()
	raw, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return errors.Annotate(ErrUnreachable, err.Error())
	}
	if resp.StatusCode != http.StatusOK {
		return parseFailure(resp.Status, raw)
	}
	return errors.Annotate(json.Unmarshal(raw, out), "Client.do")
}

func (c *Client) client() *http.Client {
	if c.HTTP != nil {
		return c.HTTP
	}
	return http.DefaultClient
}

func parseFailure(status string, raw []byte) error {
	failure := &Failure{}
	if err := json.Unmarshal(raw, failure); err == nil && failure.Message != "" {
		return failure
	}
	return &Failure{Kind: FailureInternal, Message: status + ": " + string(bytes.TrimSpace(raw))}
}
