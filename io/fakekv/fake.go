// Package fakekv is a small in-memory stand-in for the platform's key-value
// service, with faults on request. Tests use it in their own process, by its
// Service or its Handler; other processes speak to it over HTTP.
//
// # Usage
//
//	fake := fakekv.New(fakekv.Config{})
//	server := httptest.NewServer(fake.Handler())
//	fake.SetFaults(fakekv.Faults{LoseReplies: 1})
//
// A separate process is told by HTTP, see Handler for the paths:
//
//	curl -d '{"outage":true}' http://127.0.0.1:2379/fake/faults
//
// It keeps one history of all changes, like the real service, and forgets it on
// Compact.
package fakekv

import (
	"sync"
	"time"

	"gentianwell/io/kvs"
)

// defaultProgress is how often an idle watch gets a progress notice.
const defaultProgress = time.Second

// Config configures a Fake.
type Config struct {
	// Now gives the present time, by which leases lapse; time.Now by default.
	Now func() time.Time
	// ProgressInterval is how often a watch without events gets a progress notice.
	ProgressInterval time.Duration
}

// Fake is the stand-in.
type Fake struct {
	now      func() time.Time
	progress time.Duration

	mu     sync.Mutex
	store  *store
	faults Faults
	counts Counts
	saved  *store
	// changed is closed and replaced whenever a watch may have something to do.
	changed chan struct{}
}

// New returns an empty stand-in.
func New(c Config) *Fake {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ProgressInterval == 0 {
		c.ProgressInterval = defaultProgress
	}
	return &Fake{now: c.Now, progress: c.ProgressInterval, store: newStore(), changed: make(chan struct{})}
}

// Put stores a value without a lease, as an operator would.
func (f *Fake) Put(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.put(f.store.next(), kvs.Put(key, value, 0))
	f.wake()
}

// Compact forgets the history, so that watches end with a gap.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.compact()
	f.wake()
}

// LapseLeases makes all leases lapse at once and deletes their keys.
func (f *Fake) LapseLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.store.leases {
		f.store.revoke(id)
	}
	f.wake()
}

// Save remembers the present state for Restore.
func (f *Fake) Save() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = f.store.clone()
}

// Restore goes back to the state of the last Save, its revision included, as a
// service that was restored from a backup would. Watches end.
func (f *Fake) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saved == nil {
		return
	}
	f.store = f.saved.clone()
	f.wake()
}

// wake lets all watches look again. The caller holds the lock.
func (f *Fake) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}
