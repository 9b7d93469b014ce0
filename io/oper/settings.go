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

// The bounds of a request.
const (
	maxBodyBytes = 4 << 20
	maxWait      = time.Minute
	// askInterval is the time between looks at the VMs' versions.
	askInterval = 250 * time.Millisecond
)

// Config configures a Settings.
type Config struct {
	Follower *conf.Follower
	Store    *conf.Store
	// Versions asks the entry VMs, this one included, which version they apply.
	Versions func(ctx context.Context) VMVersions
	Log      logrus.FieldLogger
}

// Validate checks that all fields are there.
//
// Errors: NotValid.
func (c *Config) Validate() error {
	if c.Follower == nil || c.Store == nil || c.Versions == nil || c.Log == nil {
		return errors.NotValidf("Config.Validate: nil Follower, Store, Versions or Log")
	}
	return nil
}

// API answers operators' requests about the settings.
type API struct {
	c Config
}

// New returns the endpoint.
//
// Errors: NotValid for the configuration.
func New(c Config) (*API, error) {
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "oper.New")
	}
	return &API{c: c}, nil
}

// Register adds the paths to a mux. Guard lets only operators in.
func (s *API) Register(mux *http.ServeMux, guard func(http.HandlerFunc) http.HandlerFunc) {
	routes := map[string]func(*http.Request) (any, error){
		"GET " + pathSettings:  s.get,
		"GET " + pathEffective: s.effective,
		"GET " + pathHistory:   s.history,
		"GET " + pathVersions:  s.versions,
		"POST " + pathChanges:  s.change,
		"POST " + pathUndo:     s.undo,
	}
	for pattern, answer := range routes {
		mux.HandleFunc(pattern, guard(s.handle(answer)))
	}
}

// handle writes what answer returns, or its failure.
func (s *API) handle(answer func(*http.Request) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		r.Body = http.MaxBytesReader(w, r.Body, maxBodyBytes)
		value, err := answer(r)
		status := http.StatusOK
		if err != nil {
			failure := failureOf(err)
			if failure.again() {
				w.Header().Set("Retry-After", retryAfter)
			}
			value, status = failure, failure.status()
		}
		w.Header().Set("Content-Type", "application/json")
		w.WriteHeader(status)
		if err := json.NewEncoder(w).Encode(value); err != nil {
			s.c.Log.WithField("event", "answer").WithError(err).Info("operator's answer not written")
		}
	}
}

func (s *API) get(*http.Request) (any, error) {
	return s.c.Follower.Current().Document, nil
}

func (s *API) effective(r *http.Request) (any, error) {
	team, class := call.Team(r.FormValue("team")), call.Class(r.FormValue("class"))
	current := s.c.Follower.Current()
	sources, err := current.Tree.Explain(team, class)
	if err != nil {
		return nil, errors.Trace(err)
	}
	return Effective{Version: current.Version, Team: team, Class: class, Values: sources}, nil
}

func (s *API) history(r *http.Request) (any, error) {
	records, err := s.c.Store.History(r.Context())
	if err != nil {
		return nil, errors.Trace(err)
	}
	return History{Records: records}, nil
}

func (s *API) versions(r *http.Request) (any, error) {
	return s.c.Versions(r.Context()), nil
}

func (s *API) change(r *http.Request) (any, error) {
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
	accepted, err := s.c.Follower.Submit(r.Context(), req.Change)
	if err != nil {
		return nil, err
	}
	return s.answer(r.Context(), accepted, req.Wait), nil
}

func (s *API) undo(r *http.Request) (any, error) {
	var req UndoRequest
	if err := readBody(r, &req); err != nil {
		return nil, errors.Trace(err)
	}
	if req.Author == "" {
		return nil, errors.NotValidf("an undo without author")
	}
	accepted, err := s.c.Follower.Undo(r.Context(), req.Version, conf.Change{ID: req.ID, Author: req.Author})
	if err != nil {
		return nil, err
	}
	return s.answer(r.Context(), accepted, req.Wait), nil
}

func readBody(r *http.Request, into any) error {
	dec := json.NewDecoder(r.Body)
	dec.DisallowUnknownFields()
	if err := dec.Decode(into); err != nil {
		return errors.NewNotValid(err, "request body")
	}
	return nil
}

// answer tells of an accepted change, after waiting for the VMs if asked to.
func (s *API) answer(ctx context.Context, accepted conf.ChangeResult, wait tree.Duration) ChangeResponse {
	mark := accepted.ChangeRef()
	answer := ChangeResponse{
		Version:         mark.Version,
		ChangeID:        mark.ChangeID,
		Unchanged:       accepted.Unchanged,
		AlreadyAccepted: accepted.AlreadyAccepted,
	}
	if wait > 0 {
		answer.VMs = s.wait(ctx, answer.Version, min(time.Duration(wait), maxWait))
	}
	return answer
}

// wait asks the VMs until all of them have the version, or the time is over.
func (s *API) wait(ctx context.Context, version int64, most time.Duration) VMVersions {
	ctx, cancel := context.WithTimeout(ctx, most)
	defer cancel()
	tick := time.NewTicker(askInterval)
	defer tick.Stop()
	for {
		versions := s.c.Versions(ctx)
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
