package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// PlainConfig configures a Plain.
type PlainConfig struct {
	ID string
	// Slots is how many requests run at once, RunTime how long each takes.
	Slots   int
	RunTime time.Duration
	// ReportLag delays the load report.
	ReportLag time.Duration
	// RemovesDuplicates makes a repeat with the same key return the first booking.
	RemovesDuplicates bool
	// Crash is as in EngineConfig.
	Crash func()
}

// Defaults returns the configuration with zero fields filled in.
func (c PlainConfig) Defaults() PlainConfig {
	if c.Slots == 0 {
		c.Slots = 64
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the field's name.
func (c PlainConfig) Validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("PlainConfig.Validate: empty ID")
	case c.Slots < 1 || c.RunTime < 0 || c.ReportLag < 0:
		return errors.NotValidf("PlainConfig.Validate: Slots %d, RunTime %v, ReportLag %v", c.Slots, c.RunTime, c.ReportLag)
	}
	return nil
}

// Booking is one booked payment.
type Booking struct {
	Number int             `json:"number"`
	Key    string          `json:"key"`
	Server string          `json:"server"`
	Body   json.RawMessage `json:"body"`
}

// Bookings is the answer to GET /payments.
type Bookings struct {
	Bookings []Booking `json:"bookings"`
}

// Plain is the stand-in for a plain service: a ledger that books payments.
type Plain struct {
	c      PlainConfig
	faults *faults
	slots  *slots
	runs   *runCounter

	mu       sync.Mutex
	bookings []Booking
}

// NewPlain returns a ledger without bookings.
//
// Errors: NotValid for a configuration that is not.
func NewPlain(c PlainConfig) (*Plain, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewPlain")
	}
	return &Plain{
		c: c, faults: newFaults(c.Crash), runs: newRunCounter(),
		slots: newSlots(c.Slots, 1024, c.ReportLag),
	}, nil
}

// Handler returns the ledger's HTTP interface.
func (p *Plain) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /payments", p.pay)
	mux.HandleFunc("GET /payments", p.list)
	mux.HandleFunc("GET /runs", p.runs.serve)
	mux.HandleFunc("POST /fault", p.faults.serve)
	mux.Handle("GET /metrics", p.slots.metricsHandler(p.c.ID))
	return p.faults.guard(mux)
}

// Inject adds a fault. With AfterTokens 0 it strikes before the booking, with 1
// after it (the effect without the reply).
func (p *Plain) Inject(f Fault) { p.faults.inject(f) }

// Runs returns how often each body and key was run.
func (p *Plain) Runs() Runs { return p.runs.snapshot() }

// Bookings returns what was booked, in order.
func (p *Plain) Bookings() Bookings {
	p.mu.Lock()
	defer p.mu.Unlock()
	return Bookings{Bookings: append([]Booking{}, p.bookings...)}
}

func (p *Plain) list(w http.ResponseWriter, _ *http.Request) { writeJSON(w, p.Bookings()) }

func (p *Plain) pay(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "body is no JSON")
		return
	}
	fault := p.faults.take(body)
	if fault.Kind == FaultRefuse {
		writeBusy(w, http.StatusServiceUnavailable, "refused on request")
		return
	}
	if err := p.slots.acquire(r.Context(), 0); err != nil {
		writeBusy(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer p.slots.release()
	if fault.AfterTokens == 0 {
		p.strike(r, fault)
	}
	time.Sleep(p.c.RunTime)
	booking := p.book(body, r.Header.Get("Idempotency-Key"))
	if fault.AfterTokens > 0 {
		p.strike(r, fault)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, booking)
}

// book adds a booking, or returns the earlier one where duplicates are removed.
func (p *Plain) book(body []byte, key string) Booking {
	p.runs.add(body, key)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.c.RemovesDuplicates && key != "" {
		for _, b := range p.bookings {
			if b.Key == key {
				return b
			}
		}
	}
	b := Booking{Number: len(p.bookings) + 1, Key: key, Server: p.c.ID, Body: body}
	p.bookings = append(p.bookings, b)
	return b
}

func (p *Plain) strike(r *http.Request, fault Fault) {
	switch fault.Kind {
	case FaultCrash:
		p.faults.crash()
		panic(http.ErrAbortHandler)
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultHang, FaultFreeze:
		p.faults.stall(r)
	case FaultSlow:
		time.Sleep(time.Duration(fault.Factor) * p.c.RunTime)
	}
}
