// Package fakekv is an in-memory fake of the platform's key-value service with fault
// injection. Tests use it in their own process through Service or Handler; other
// processes use it over HTTP.
//
// # Usage
//
//	fake := fakekv.New(fakekv.Config{})
//	server := httptest.NewServer(fake.Handler())
//	fake.SetFaults(fakekv.Faults{LoseReplies: 1})
//
// Faults in a fake in another process are set over HTTP; see Handler for the paths:
//
//	curl -d '{"outage":true}' http://127.0.0.1:2379/fake/faults
//
// Like the real service, it keeps one history of all changes. Compact deletes it.
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
	// Now returns the current time, by which leases expire; time.Now by default.
	Now func() time.Time
	// ProgressInterval is the interval of the progress notices of a watch.
	ProgressInterval time.Duration
	// TellsEra makes each Restore begin a new era; see kvs.Revision.
	TellsEra bool
}

// Fake is a fake key-value service.
type Fake struct {
	now      func() time.Time
	progress time.Duration
	tellsEra bool

	mu     sync.Mutex
	store  *store
	faults Faults
	counts Counts
	saved  *store
	// changed is closed and replaced when a watch may have events to deliver or may
	// have to end.
	changed chan struct{}
}

// New returns a fake without any keys.
func New(c Config) *Fake {
	if c.Now == nil {
		c.Now = time.Now
	}
	if c.ProgressInterval == 0 {
		c.ProgressInterval = defaultProgress
	}
	return &Fake{now: c.Now, progress: c.ProgressInterval, tellsEra: c.TellsEra, store: newStore(), changed: make(chan struct{})}
}

// Put stores a value without a lease, as an operator would do. No fault affects it.
func (f *Fake) Put(key string, value []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.put(f.store.nextRevision(), kvs.Put(key, value, 0))
	f.notifyWatches()
}

// Compact deletes the history, so that watches that are behind end with
// kvs.ErrCompacted.
func (f *Fake) Compact() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.store.compact()
	f.notifyWatches()
}

// LapseLeases ends all leases at once and deletes their keys.
func (f *Fake) LapseLeases() {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.store.leases {
		f.store.revoke(id)
	}
	f.notifyWatches()
}

// Save saves the current state for Restore.
func (f *Fake) Save() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.saved = f.store.clone()
}

// Restore returns to the state of the last Save, including its revision, as a service
// does that is restored from a backup: later keys and leases are gone, and their revisions
// and ids are given out again. All watches end. With Config.TellsEra, all revisions are
// then of a new era. Without a Save it does nothing.
func (f *Fake) Restore() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.saved == nil {
		return
	}
	era := f.store.revision.Era()
	if f.tellsEra {
		era++
	}
	f.store = f.saved.clone()
	f.store.setEra(era)
	f.notifyWatches()
}

// notifyWatches makes all watches check for changes. The caller holds the lock.
func (f *Fake) notifyWatches() {
	close(f.changed)
	f.changed = make(chan struct{})
}
