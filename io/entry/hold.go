package entry

import (
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"
)

const (
	// holdFraction is the fraction of the bound for a change by which a copy may be old before requests
	// wait for a read of the store.
	holdFraction = 0.95
	// stallTime is the gap between two ticks after which the process has stood still: what it has received
	// meanwhile is older than it looks.
	stallTime = time.Second
	// maxHold is how long requests wait at most.
	maxHold = 250 * time.Millisecond
)

// holdReason says why requests wait.
type holdReason string

// The reasons.
const (
	// holdOld: no read of the store has confirmed the copies for too long.
	holdOld holdReason = "old"
	// holdStall: the process has stood still.
	holdStall holdReason = "stall"
)

// holds makes requests wait for a read of the store while this VM's copies may be older than the bound
// for a change, once for maxHold at most: the store may be out of reach, and what is known is then in
// force.
type holds struct {
	// limit is the age of the copies from which requests wait, age returns it.
	limit time.Duration
	age   func() time.Duration
	// read reads the store and compares the copies with it.
	read    func()
	storeUp func() bool
	// observe is called with each hold.
	observe func(holdReason)
	log     logrus.FieldLogger

	// ticked is the monotonic time of the last tick, in nanoseconds after began.
	began  time.Time
	ticked atomic.Int64
	// current is the hold that is under way, nil if there is none.
	current atomic.Pointer[hold]
	mu      sync.Mutex
	// spent is true from a hold on until the copies are not old any more.
	spent bool
}

// hold is one wait; over is closed at its end.
type hold struct{ over chan struct{} }

func newHolds(limit time.Duration) *holds {
	return &holds{limit: limit, began: time.Now(), observe: func(holdReason) {}}
}

// tick notices that the process has stood still, and that the copies are not old any more.
func (h *holds) tick(time.Time) {
	if gap := h.gap(); gap >= stallTime {
		h.begin(holdStall, gap)
	}
	h.ticked.Store(int64(time.Since(h.began)))
	if h.age() < h.limit {
		h.mu.Lock()
		defer h.mu.Unlock()
		h.spent = false
	}
}

// gap returns the time since the last tick, zero before the first.
func (h *holds) gap() time.Duration {
	if ticked := h.ticked.Load(); ticked != 0 {
		return time.Since(h.began) - time.Duration(ticked)
	}
	return 0
}

// wait returns at once unless the copies may be too old. Then it waits for a read of the store.
func (h *holds) wait() {
	switch gap, age := h.gap(), h.age(); {
	case gap >= stallTime:
		h.begin(holdStall, gap)
	case age >= h.limit:
		h.begin(holdOld, age)
	}
	if current := h.current.Load(); current != nil {
		<-current.over
	}
}

// begin starts a hold unless one is under way, there was one since the copies were last known not to be
// old, or the store is known to be down.
func (h *holds) begin(reason holdReason, late time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.spent || h.current.Load() != nil || !h.storeUp() {
		return
	}
	h.spent = true
	current := &hold{make(chan struct{})}
	h.current.Store(current)
	h.observe(reason)
	began := time.Now()
	read := make(chan struct{})
	go func() {
		h.read()
		close(read)
	}()
	go func() {
		answered := true
		select {
		case <-read:
		case <-time.After(maxHold):
			answered = false
		}
		h.current.Store(nil)
		close(current.over)
		h.log.WithFields(logrus.Fields{
			"event": "hold", "reason": reason, "late": late.Round(time.Millisecond).String(), "took": time.Since(began).Round(time.Millisecond).String(), "answered": answered,
		}).Info("requests waited for a read of the store")
	}()
}
