package fakekv

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

// Faults are the faults in force. The zero value is a sound service.
type Faults struct {
	// Outage refuses every call without effect and ends all watches.
	Outage bool `json:"outage,omitempty"`
	// Delay is how long each call waits before its effect, in nanoseconds.
	Delay time.Duration `json:"delay,omitempty"`
	// LoseRequests is how many of the next changing calls have no effect and get
	// no reply; LoseReplies how many of those after have it and get no reply.
	LoseRequests int `json:"loseRequests,omitempty"`
	LoseReplies  int `json:"loseReplies,omitempty"`
	// LoseReads is how many of the next reads get no reply.
	LoseReads int `json:"loseReads,omitempty"`
	// SilentWatches keeps watches open but delivers nothing.
	SilentWatches bool `json:"silentWatches,omitempty"`
}

// Counts are the calls since the start, by kind, those without effect included.
// Bytes are those of request and response bodies, watches excepted.
type Counts struct {
	Reads  int `json:"reads"`
	Txns   int `json:"txns"`
	Leases int `json:"leases"`
	// Watches counts the watches opened.
	Watches  int   `json:"watches"`
	BytesIn  int64 `json:"bytesIn"`
	BytesOut int64 `json:"bytesOut"`
}

// SetFaults replaces the faults in force.
func (f *Fake) SetFaults(faults Faults) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.faults = faults
	f.wake()
}

// Faults returns the faults in force, with what is left of the counted ones.
func (f *Fake) Faults() Faults {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults
}

// Counts returns the calls so far.
func (f *Fake) Counts() Counts {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.counts
}

// delay returns the present delay of calls.
func (f *Fake) delay() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.faults.Delay
}

// read does a reading call under the faults in force.
func (f *Fake) read(do func(s *store)) error {
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
	f.expire()
	do(f.store)
	return nil
}

// change does a changing call under the faults in force.
func (f *Fake) change(count func(*Counts), do func(s *store) error) error {
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
	f.expire()
	before := f.store.revision
	err := do(f.store)
	if f.store.revision != before {
		f.wake()
	}
	if err == nil && f.faults.LoseReplies > 0 {
		f.faults.LoseReplies--
		return errors.Annotate(kvs.ErrUnknown, "reply lost")
	}
	return err
}

func (f *Fake) expire() {
	if f.store.expire(f.now()) {
		f.wake()
	}
}
