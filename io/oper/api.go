package oper

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
)

// The limits of a request.
const (
	maxBodyBytes = 4 << 20
	maxWait      = time.Minute
	// versionsInterval is the time between queries of the VMs' versions.
	versionsInterval = 250 * time.Millisecond
)

// Config configures an API.
type Config struct {
	Follower *conf.Follower
	Store    *conf.Store
	// Versions returns the version in force on each entry VM, including this one.
	Versions func(ctx context.Context) VMVersions
	Log      logrus.FieldLogger
}

// Validate checks that all fields are set.
//
// Errors: NotValid.
func (c *Config) Validate() error {
	if c.Follower == nil || c.Store == nil || c.Versions == nil || c.Log == nil {
		return errors.NotValidf("Config.Validate: nil Follower, Store, Versions or Log")
	}
	return nil
}

// API serves operators' requests about the settings.
type API struct {
	c Config
}

// New returns an API.
//
// Errors: NotValid for the configuration.
func New(c Config) (*API, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "oper.New")
	}
	return &API{c: c}, nil
}

// Register adds the routes to a mux. The guard wraps each handler and admits only
// operators.
func (a *API) Register(mux *http.ServeMux, guard func(http.HandlerFunc) http.HandlerFunc) {
	routes := map[string]func(*http.Request) (any, error){
		"GET " + pathSettings:  a.get,
		"GET " + pathEffective: a.effective,
		"GET " + pathHistory:   a.history,
		"GET " + pathVersions:  a.versions,
		"POST " + pathChanges:  a.change,
		"POST " + pathUndo:     a.undo,
	}
	for pattern, serve := range routes {
		mux.HandleFunc(pattern, guard(a.handle(serve)))
	}
}

// handle returns a handler that writes the result of serve, or its error as a
// Failure.
func (a *API) handle(serve func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		value, err := serve(r)
		status := http.StatusOK
		if err != nil {
			failure := newFailure(err)
			if failure.retryable() {
				w.Header().Set("Retry-After", retryAfterSeconds)
			}
			value, status = failure, failure.status()
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(value); err != nil {
			a.c.Log.WithField("event", "answer").WithError(err).Info("writing the response to an operator failed")
		}
	}
}

func (a *API) get(*http.Request) (any, error) {
	return a.c.Follower.Current().Document, nil
}

func (a *API) effective(r *http.Request) (any, error) {
	team, class := call.Team(r.FormValue("team")), call.Class(r.FormValue("class"))
	current := a.c.Follower.Current()
	sources, err := current.Tree.Explain(team, class)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Effective{Version: current.Version, Team: team, Class: class, Values: sources}, nil
}

func (a *API) history(r *http.Request) (any, error) {
	records, err := a.c.Store.History(r.Context())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return History{Records: records}, nil
}

func (a *API) versions(r *http.Request) (any, error) {
	return a.c.Versions(r.Context()), nil
}

func (a *API) change(r *http.Request) (any, error) {
	var req ChangeRequest
	if err := readBody(r, &req); err != nil {
		return nil, errors.Trace(err)
	}
	if len(req.Edits) == 0 {
		return nil, errors.NotValidf("a change without edits")
	}
	if req.Author == "" {
		return nil, errors.NotValidf("a change without author")
	}
	accepted, err := a.c.Follower.Submit(r.Context(), req.Change)
	if err != nil {
		return nil, err
	}
	return a.respond(r.Context(), accepted, req.Wait), nil
}

func (a *API) undo(r *http.Request) (any, error) {
	var req UndoRequest
	if err := readBody(r, &req); err != nil {
		return nil, errors.Trace(err)
	}
	if req.Author == "" {
		return nil, errors.NotValidf("an undo without author")
	}
	accepted, err := a.c.Follower.Undo(r.Context(), req.Version, conf.Change{ID: req.ID, Author: req.Author})
	if err != nil {
		return nil, err
	}
	return a.respond(r.Context(), accepted, req.Wait), nil
}

func readBody(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.NewNotValid(err, "request body")
	}
	return nil
}

// respond returns the response to an accepted change, after waiting for the VMs if
// the request asked for that.
func (a *API) respond(ctx context.Context, accepted conf.ChangeResult, wait tree.Duration) ChangeResponse {
	ref := accepted.ChangeRef()
	response := ChangeResponse{
		Version:         ref.Version,
		ChangeID:        ref.ChangeID,
		Unchanged:       accepted.Unchanged,
		AlreadyAccepted: accepted.AlreadyAccepted,
	}
	if wait > 0 {
		response.VMs = a.wait(ctx, response.Version, min(time.Duration(wait), maxWait))
	}
	return response
}

// wait polls the VMs until all of them have the version in force or the timeout has
// passed, and returns the last versions.
func (a *API) wait(ctx context.Context, version int64, timeout time.Duration) VMVersions {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	tick := time.NewTicker(versionsInterval)
	defer tick.Stop()
	for {
		versions := a.c.Versions(ctx)
		behind, unreached := versions.Missing(version)
		if len(behind)+len(unreached) == 0 {
			return versions
		}
		select {
		case <-ctx.Done():
			return versions
		case <-tick.C:
		}
	}
}
