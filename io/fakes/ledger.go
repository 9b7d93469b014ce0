package fakes

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/juju/errors"
)

// LedgerConfig configures a Ledger.
type LedgerConfig struct {
	ID string
	// Slots is how many requests run at the same time, RunTime how long each takes.
	Slots   int
	RunTime time.Duration
	// ReportLag delays the load report.
	ReportLag time.Duration
	// RemovesDuplicates makes a repeated request with the same idempotency key return
	// the first booking.
	RemovesDuplicates bool
	// Crash is as in EngineConfig.
	Crash func()
}

// Defaults returns the configuration with zero fields filled in.
func (c LedgerConfig) Defaults() LedgerConfig {
	if c.Slots == 0 {
		c.Slots = 64
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the field's name.
func (c LedgerConfig) Validate() error {
	switch {
	case c.ID == "":
		return errors.NotValidf("LedgerConfig.Validate: empty ID")
	case c.Slots < 1 || c.RunTime < 0 || c.ReportLag < 0:
		return errors.NotValidf("LedgerConfig.Validate: Slots %d (must be at least 1), RunTime %v, ReportLag %v (must not be negative)",
			c.Slots, c.RunTime, c.ReportLag)
	}
	return nil
}

// Booking is a recorded payment.
type Booking struct {
	Number int             `json:"number"`
	Key    string          `json:"key"`
	Server string          `json:"server"`
	Body   json.RawMessage `json:"body"`
}

// Bookings is the response to GET /payments.
type Bookings struct {
	Bookings []Booking `json:"bookings"`
}

// Ledger is a fake payment service. It records each payment as a booking.
type Ledger struct {
	c      LedgerConfig
	faults *faults
	slots  *slots
	runs   *runCounter

	mu       sync.Mutex
	bookings []Booking
}

// NewLedger returns a ledger without bookings.
//
// Errors: NotValid for an invalid configuration.
func NewLedger(c LedgerConfig) (*Ledger, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewLedger")
	}
	return &Ledger{
		c: c, faults: newFaults(c.Crash), runs: newRunCounter(),
		slots: newSlots(c.Slots, 1024, c.ReportLag),
	}, nil
}

// Handler returns the ledger's HTTP interface.
func (l *Ledger) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /payments", l.pay)
	mux.HandleFunc("GET /payments", l.list)
	mux.HandleFunc("GET /runs", l.runs.serve)
	mux.HandleFunc("POST /fault", l.faults.serve)
	mux.Handle("GET /metrics", l.slots.metricsHandler(l.c.ID))
	return l.faults.guard(mux)
}

// Inject adds a fault. With AfterTokens 0 the fault applies before the booking,
// otherwise after it, so that a payment can be booked without a response.
func (l *Ledger) Inject(f Fault) { l.faults.inject(f) }

// Runs returns how often each body and key was run.
func (l *Ledger) Runs() Runs { return l.runs.snapshot() }

// Bookings returns the bookings in the order in which they were made.
func (l *Ledger) Bookings() Bookings {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Bookings{Bookings: append([]Booking{}, l.bookings...)}
}

func (l *Ledger) list(w http.ResponseWriter, _ *http.Request) { writeJSON(w, l.Bookings()) }

func (l *Ledger) pay(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		writeError(w, http.StatusRequestEntityTooLarge, err.Error())
		return
	}
	if !json.Valid(body) {
		writeError(w, http.StatusBadRequest, "body is no JSON")
		return
	}
	fault := l.faults.take(body)
	if fault.Kind == FaultRefuse {
		writeRefusal(w, http.StatusServiceUnavailable, "refused on request")
		return
	}
	if err := l.slots.acquire(r.Context(), 0); err != nil {
		writeRefusal(w, http.StatusServiceUnavailable, err.Error())
		return
	}
	defer l.slots.release()
	if fault.AfterTokens == 0 {
		l.applyFault(r, fault)
	}
	time.Sleep(l.c.RunTime)
	booking := l.book(body, r.Header.Get("Idempotency-Key"))
	if fault.AfterTokens > 0 {
		l.applyFault(r, fault)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(http.StatusCreated)
	writeJSON(w, booking)
}

// book adds a booking. With RemovesDuplicates it returns the earlier booking of the
// same key instead, if there is one.
func (l *Ledger) book(body []byte, key string) Booking {
	l.runs.add(body, key)
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.c.RemovesDuplicates && key != "" {
		for _, b := range l.bookings {
			if b.Key == key {
				return b
			}
		}
	}
	b := Booking{Number: len(l.bookings) + 1, Key: key, Server: l.c.ID, Body: body}
	l.bookings = append(l.bookings, b)
	return b
}

func (l *Ledger) applyFault(r *http.Request, fault Fault) {
	switch fault.Kind {
	case FaultCrash:
		l.faults.crash()
		panic(http.ErrAbortHandler)
	case FaultCut:
		panic(http.ErrAbortHandler)
	case FaultHang, FaultFreeze:
		l.faults.stall(r)
	case FaultSlow:
		time.Sleep(time.Duration(fault.Factor) * l.c.RunTime)
	}
}
