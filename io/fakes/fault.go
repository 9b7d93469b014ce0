package fakes

import (
	"bytes"
	"encoding/json"
	"net/http"
	"sync"
)

// CrashMarker in a body makes the stand-in that runs it crash.
const CrashMarker = "[[crash]]"

// NotRunHeader on a 429 or 503 answer is the stand-ins' contract that the
// request was refused before any of it ran.
const NotRunHeader = "X-Not-Run"

// FaultKind names what goes wrong.
type FaultKind string

// The faults. FaultHang accepts the request and never answers; FaultFreeze stops
// in mid-answer and keeps the connection open; FaultCut closes the connection in
// mid-answer; FaultTruncate ends the answer in good order but too early;
// FaultDuplicate sends one chunk twice; FaultCrossed slips in a chunk of another
// answer; FaultRefuse refuses by contract; FaultSlow multiplies the token gap.
// FaultCrash without a Match takes place at once.
const (
	FaultCrash     FaultKind = "crash"
	FaultHang      FaultKind = "hang"
	FaultFreeze    FaultKind = "freeze"
	FaultCut       FaultKind = "cut"
	FaultTruncate  FaultKind = "truncate"
	FaultDuplicate FaultKind = "duplicate"
	FaultCrossed   FaultKind = "crossed"
	FaultRefuse    FaultKind = "refuse"
	FaultSlow      FaultKind = "slow"
	FaultRevive    FaultKind = "revive"
)

// Fault is one fault that is to come.
type Fault struct {
	Kind FaultKind `json:"kind"`
	// Match limits the fault to bodies that contain it.
	Match string `json:"match,omitempty"`
	// AfterTokens is how many tokens are sent before a fault in mid-answer.
	AfterTokens int `json:"afterTokens,omitempty"`
	// Times is how many requests have the fault (0: all until a revival).
	Times int `json:"times,omitempty"`
	// Factor is FaultSlow's factor.
	Factor int `json:"factor,omitempty"`
}

// faults holds the faults to come and whether the stand-in has crashed.
type faults struct {
	mu     sync.Mutex
	list   []Fault
	down   chan struct{} // closed by a crash
	thawed chan struct{} // closed by a revival
	exit   func()
}

func newFaults(exit func()) *faults {
	return &faults{down: make(chan struct{}), thawed: make(chan struct{}), exit: exit}
}

// inject adds a fault, or crashes or revives at once.
func (f *faults) inject(fault Fault) {
	switch {
	case fault.Kind == FaultRevive:
		f.revive()
	case fault.Kind == FaultCrash && fault.Match == "":
		f.crash()
	default:
		f.mu.Lock()
		defer f.mu.Unlock()
		f.list = append(f.list, fault)
	}
}

func (f *faults) crash() {
	if f.exit != nil {
		f.exit()
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	select {
	case <-f.down:
	default:
		close(f.down)
	}
}

func (f *faults) revive() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.list = nil
	f.down = make(chan struct{})
	close(f.thawed)
	f.thawed = make(chan struct{})
}

// take returns the first fault that applies to the body, or a zero Fault.
func (f *faults) take(body []byte) Fault {
	if bytes.Contains(body, []byte(CrashMarker)) {
		return Fault{Kind: FaultCrash}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for i, fault := range f.list {
		if !bytes.Contains(body, []byte(fault.Match)) {
			continue
		}
		switch fault.Times {
		case 0:
		case 1:
			f.list = append(f.list[:i:i], f.list[i+1:]...)
		default:
			f.list[i].Times--
		}
		return fault
	}
	return Fault{}
}

func (f *faults) signals() (down, thawed <-chan struct{}) {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down, f.thawed
}

// stall blocks until the caller goes away, a crash or a revival, then cuts the
// connection.
func (f *faults) stall(r *http.Request) {
	down, thawed := f.signals()
	select {
	case <-r.Context().Done():
	case <-down:
	case <-thawed:
	}
	panic(http.ErrAbortHandler)
}

// guard cuts each connection while the stand-in is down.
func (f *faults) guard(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		down, _ := f.signals()
		select {
		case <-down:
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
