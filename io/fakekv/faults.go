package fakekv

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// Faults are the faults to inject. The zero value means none.
type Faults struct {
	// Outage refuses every call before any effect and ends all watches.
	Outage bool `json:"outage,omitempty"`
	// Delay is how long each call except a watch waits before its effect, in
	// nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseRequests is the number of next writing calls that have no effect and get no
	// reply. LoseReplies is the number of writing calls after those that have their
	// effect but get no reply.
	LoseRequests int `json:"loseRequests,omitempty"`
	LoseReplies  int `json:"loseReplies,omitempty"`
	// LoseReads is the number of next reads that get no reply.
	LoseReads int `json:"loseReads,omitempty"`
	// SilentWatches keeps watches open without delivering events or progress notices.
	SilentWatches bool `json:"silentWatches,omitempty"`
}

// Counts are the numbers of calls since the start by kind, including those without
// effect. BytesIn and BytesOut count the bytes of request and response bodies, but not
// the responses of watches.
type Counts struct {
	Reads  int `json:"reads"`
	Txns   int `json:"txns"`
	Leases int `json:"leases"`
	// Watches counts the watches that were started.
	Watches  int   `json:"watches"`
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
}

// SetFaults replaces the faults to inject.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.notifyWatches()
}

// Faults returns the current faults, with the remaining numbers of those that are
// counted.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counts returns the numbers of calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// delay returns the current delay of calls.
func (f *Fake) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.Delay
}

// doRead runs a reading call, subject to the current faults.
func (f *Fake) doRead(do func(s *store)) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.counts.Reads++
	if f.faults.Outage {
		return errors.Annotate(kvs.ErrUnavailable, "outage")
	}
	if f.faults.LoseReads > 0 {
		f.faults.LoseReads--
		return errors.Annotate(kvs.ErrUnknown, "reply lost")
	}
	f.expireLeases()
	do(f.store)
	return nil
}

// doChange runs a writing call, subject to the current faults.
func (f *Fake) doChange(count func(*Counts), do func(s *store) error) error {
	f.mu.Lock()
	defer f.mu.Unlock()
	count(&f.counts)
	if f.faults.Outage {
		return errors.Annotate(kvs.ErrUnavailable, "outage")
	}
	if f.faults.LoseRequests > 0 {
		f.faults.LoseRequests--
		return errors.Annotate(kvs.ErrUnknown, "request lost")
	}
	f.expireLeases()
	before := f.store.revision
	err := do(f.store)
	if f.store.revision != before {
		f.notifyWatches()
	}
	if err == nil && f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return errors.Annotate(kvs.ErrUnknown, "reply lost")
	}
	return err
}

func (f *Fake) expireLeases() {
	if f.store.expireLeases(f.now()) {
		f.notifyWatches()
	}
}
