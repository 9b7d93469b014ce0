package fakes

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
)

// maxBody is the maximum size of a request body in bytes.
const maxBody = 4 << 20

// Engine is a fake model engine.
type Engine struct {
	c      EngineConfig
	faults *faults
	slots  *slots
	cache  *prefixCache
	models *modelSet
	runs   *runCounter
	lastID atomic.Int64
	// slowFactor is the factor of FaultSlow; 0 or 1 means none.
	slowFactor atomic.Int64
	tokens     atomic.Int64
}

// NewEngine returns an engine with the configured models loaded.
//
// Errors: NotValid for an invalid configuration.
func NewEngine(c EngineConfig) (*Engine, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewEngine")
	}
	return &Engine{
		c: c, faults: newFaults(c.Crash), slots: newSlots(c.Slots, c.MaxWaiting, c.ReportLag),
		cache: newPrefixCache(c), models: newModelSet(c), runs: newRunCounter(),
	}, nil
}

// Handler returns the engine's HTTP interface.
func (e *Engine) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/chat/completions", e.serveAnswer)
	mux.HandleFunc("POST /v1/completions", e.serveAnswer)
	mux.HandleFunc("GET /v1/models", e.models.serveModels)
	mux.HandleFunc("POST /orders", e.models.serveOrder)
	mux.HandleFunc("GET /orders", e.models.serveOrders)
	mux.HandleFunc("GET /cache/events", e.cache.serve)
	mux.HandleFunc("GET /runs", e.runs.serve)
	mux.HandleFunc("POST /fault", e.serveFault)
	mux.Handle("GET /metrics", e.slots.metricsHandler(e.c.ID))
	return e.faults.guard(mux)
}

// Inject adds a fault.
func (e *Engine) Inject(f Fault) {
	switch f.Kind {
	case FaultSlow:
		e.slowFactor.Store(int64(f.Factor))
		return
	case FaultRevive:
		e.slowFactor.Store(0)
	}
	e.faults.inject(f)
}

// Runs returns how often each body and key was run.
func (e *Engine) Runs() Runs { return e.runs.snapshot() }

// Tokens returns how many tokens were generated, whether or not a caller read them.
func (e *Engine) Tokens() int64 { return e.tokens.Load() }

// Running returns how many requests are running.
func (e *Engine) Running() int { return e.slots.inBatch() }

func (e *Engine) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		writeError(w, http.StatusBadRequest, err.Error())
		return
	}
	w.WriteHeader(http.StatusNoContent)
	if err := http.NewResponseController(w).Flush(); err != nil {
		return
	}
	e.Inject(f)
}

func (e *Engine) serveAnswer(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	var req engineRequest
	if err := json.Unmarshal(body, &req); err != nil {
		writeError(w, http.StatusBadRequest, "body is no JSON: "+err.Error())
		return
	}
	if !e.models.has(req.Model) {
		w.Header().Set(NotRunHeader, "true")
		writeError(w, http.StatusNotFound, fmt.Sprintf("model %q is not loaded", req.Model))
		return
	}
	fault := e.faults.take(body)
	if fault.Kind == FaultRefuse {
		writeRefusal(w, http.StatusServiceUnavailable, "refused on request")
		return
	}
	if err := e.slots.acquire(r.Context(), req.Priority); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer e.slots.release()
	e.runs.add(body, r.Header.Get("Idempotency-Key"))
	e.generate(w, r, newAnswer(e, &req, r), fault)
}

// pause waits for d, multiplied by the factor of FaultSlow. It closes the connection if
// the engine crashes or the caller disconnects.
func (e *Engine) pause(r *http.Request, d time.Duration) {
	if factor := e.slowFactor.Load(); factor > 1 {
		d *= time.Duration(factor)
	}
	crashed, _ := e.faults.signals()
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-r.Context().Done():
		panic(http.ErrAbortHandler)
	case <-crashed:
		panic(http.ErrAbortHandler)
	}
}

// newID returns the ID of an answer. It contains the ID of the request, if there is one.
func (e *Engine) newID(chat bool, requestID string) string {
	prefix := "cmpl"
	if chat {
		prefix = "chatcmpl"
	}
	if requestID != "" {
		return prefix + "-" + requestID
	}
	return fmt.Sprintf("%s-%s-%d", prefix, e.c.ID, e.lastID.Add(1))
}
