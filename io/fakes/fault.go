package fakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// CrashMarker in a request body makes the fake server that runs the request crash.
const CrashMarker = "[[crash]]"

// NotRunHeader on a refusal (status 503, or 404 for a model that is not loaded) says that
// no part of the request has run.
const NotRunHeader = "X-Not-Run"

// FaultKind is the kind of a Fault.
type FaultKind string

// The kinds of fault.
const (
	// FaultCrash crashes the server: at once if Match is empty, otherwise while it
	// answers a matching request.
	FaultCrash FaultKind = "crash"
	// FaultHang accepts the request and never answers.
	FaultHang FaultKind = "hang"
	// FaultFreeze stops in the middle of the answer and keeps the connection open.
	FaultFreeze FaultKind = "freeze"
	// FaultCut closes the connection in the middle of the answer.
	FaultCut FaultKind = "cut"
	// FaultTruncate ends the response without an error before the answer is complete.
	FaultTruncate FaultKind = "truncate"
	// FaultDuplicate sends one chunk twice.
	FaultDuplicate FaultKind = "duplicate"
	// FaultCrossed inserts a chunk that belongs to another answer.
	FaultCrossed FaultKind = "crossed"
	// FaultRefuse refuses the request with NotRunHeader.
	FaultRefuse FaultKind = "refuse"
	// FaultSlow multiplies the TokenGap and PrefillTime of an Engine by Factor, at once and
	// for all requests until FaultRevive. It makes a Ledger wait an additional Factor times
	// RunTime.
	FaultSlow FaultKind = "slow"
	// FaultRevive removes all faults, ends a crash, and closes the connections of requests
	// that hang or are frozen.
	FaultRevive FaultKind = "revive"
)

// Fault is a fault to inject.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match limits the fault to requests whose body contains it.
	Match string `json:"match,omitempty"`
	// AfterTokens is how many tokens are sent before a fault in the middle of an answer.
	AfterTokens int `json:"afterTokens,omitempty"`
	// Times is how many requests the fault affects (0: all until FaultRevive).
	Times int `json:"times,omitempty"`
	// Factor is the factor of FaultSlow.
	Factor int `json:"factor,omitempty"`
}

// faults holds the pending faults and whether the server has crashed.
type faults struct {
	mu      sync.Mutex
	pending []Fault
	crashed chan struct{} // closed by a crash
	revived chan struct{} // closed by FaultRevive
	onCrash func()
}

func newFaults(onCrash func()) *faults {
	return &faults{crashed: make(chan struct{}), revived: make(chan struct{}), onCrash: onCrash}
}

// inject adds a fault. FaultRevive and FaultCrash without a Match take effect at once.
func (f *faults) inject(fault Fault) {
	switch {
	case fault.Kind == FaultRevive:
		f.revive()
	case fault.Kind == FaultCrash && fault.Match == "":
		f.crash()
	default:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.pending = append(f.pending, fault)
	}
}

func (f *faults) crash() {
	if f.onCrash != nil {
		f.onCrash()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.crashed:
	default:
		close(f.crashed)
	}
}

func (f *faults) revive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.pending = nil
	f.crashed = make(chan struct{})
	close(f.revived)
	f.revived = make(chan struct{})
}

// take returns the first pending fault that matches the body and counts its use. It
// returns a zero Fault if there is none.
func (f *faults) take(body []byte) Fault {
	if bytes.Contains(body, []byte(CrashMarker)) {
		return Fault{Kind: FaultCrash}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.pending {
		if !bytes.Contains(body, []byte(fault.Match)) {
			continue
		}
		switch fault.Times {
		case 0:
		case 1:
			f.pending = append(f.pending[:i:i], f.pending[i+1:]...)
		default:
			f.pending[i].Times--
		}
		return fault
	}
	return Fault{}
}

func (f *faults) signals() (crashed, revived <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.crashed, f.revived
}

// stall blocks until the caller disconnects, the server crashes or FaultRevive, and
// then closes the connection.
func (f *faults) stall(r *http.Request) {
	crashed, revived := f.signals()
	select {
	case <-r.Context().Done():
	case <-crashed:
	case <-revived:
	}
	panic(http.ErrAbortHandler)
}

// guard closes the connection of each request but those for /fault while the server is
// crashed.
func (f *faults) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		crashed, _ := f.signals()
		select {
		case <-crashed:
			if r.URL.Path != "/fault" {
				panic(http.ErrAbortHandler)
			}
		default:
		}
		next.ServeHTTP(w, r)
	})
}

func (f *faults) serve(w http.ResponseWriter, r *http.Request) {
	var fault Fault
	if err := json.NewDecoder(r.Body).Decode(&fault); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	f.inject(fault)
	w.WriteHeader(http.StatusNoContent)
}
