// Package mirror keeps a copy of all keys with a prefix from the platform's key-value
// service. It follows a watch and also reads all keys again at intervals, because a
// watch may lose events without an error.
//
// # Usage
//
//	m, err := mirror.New(mirror.Config{
//		Service: svc, Prefix: "platform/vms/", Changed: func(s kvs.Snapshot) { … }, Rand: rng, Log: log,
//	})
//	err = m.Run(ctx)
//
// While the service is unreachable, the last copy stays in use. A mirror can be paused while
// somebody else tells its user of changes.
package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/io/kvs"
)

// Config configures a Mirror.
type Config struct {
	Service kvs.Service
	Prefix  string
	// Changed is called with each new copy, with the entries in key order.
	Changed func(kvs.Snapshot)
	// Rand adds jitter to Backoff, so that after an outage not all VMs read at once.
	Rand *rand.Rand
	Log  logrus.FieldLogger
	// RereadInterval is the longest time for which a watch is followed before all keys
	// are read again. Backoff is the mean delay after a failure.
	RereadInterval time.Duration
	Backoff        time.Duration
	// Timeout limits the time for reading all keys.
	Timeout time.Duration
	// DownChanged is called when reads or watches begin to fail and when reads succeed
	// again, then before Changed is called. By default, both are logged.
	DownChanged func(down bool, cause error)
	// OutageEnded is called when all keys were read after a read had failed because the
	// service was down, before Changed, with how long ago it was last known to be down. Watches
	// that fail are no sign of an outage: their connections fail, too. By default, nothing is
	// called.
	OutageEnded func(lastDown time.Duration)
	// Answered is called before Changed with each answer that brought the copy up to date, also with
	// those without a change. By default, nothing is called.
	Answered func(Source)
	// Restored is called when all keys were read for the first time after the service was
	// restored from an older copy, before Changed, with the revision of the copy before and
	// the new one. By default, it is logged.
	Restored func(before, after kvs.Revision)
}

// Defaults sets the durations and DownChanged to their defaults if they are not set.
func (c *Config) Defaults() {
	if c.RereadInterval == 0 {
		c.RereadInterval = 30 * time.Second
	}
	if c.Backoff == 0 {
		c.Backoff = time.Second
	}
	if c.Timeout == 0 {
		c.Timeout = 3 * time.Second
	}
	if c.DownChanged == nil {
		c.DownChanged = c.logDown
	}
	if c.OutageEnded == nil {
		c.OutageEnded = func(time.Duration) {}
	}
	if c.Answered == nil {
		c.Answered = func(Source) {}
	}
	if c.Restored == nil {
		c.Restored = c.logRestored
	}
}

// Source says what brought a copy up to date.
type Source string

// The sources.
const (
	// SourceWatch is an answer of the watch.
	SourceWatch Source = "watch"
	// SourceKeys is reading all keys, at the start, after the end of a watch and at intervals.
	SourceKeys Source = "keys"
	// SourceAdopted is a list that was passed to Adopt.
	SourceAdopted Source = "adopted"
)

func (c *Config) logRestored(before, after kvs.Revision) {
	c.Log.WithFields(logrus.Fields{
		"event": "mirrorRestored", "prefix": c.Prefix, "oldEra": before.Era(), "newEra": after.Era(), "before": before.Number(), "after": after.Number(),
	}).Warn("the platform's key-value service was restored from an older copy")
}

func (c *Config) logDown(down bool, cause error) {
	c.Log.WithFields(logrus.Fields{"event": "mirror", "prefix": c.Prefix, "down": down, "cause": cause}).Warn("reachability of the platform's key-value service changed")
}

// Validate checks the config.
//
// Errors: NotValid with the fields' names.
func (c *Config) Validate() error {
	switch {
	case c.Prefix == "":
		return errors.NotValidf("Config.Validate: Prefix is empty (it is required)")
	case c.Changed == nil, c.Rand == nil, c.Log == nil, c.Service.List == nil, c.Service.Watch == nil:
		return errors.NotValidf("Config.Validate: Changed, Rand, Log, Service.List or Service.Watch is nil (all are required)")
	case c.RereadInterval < 0 || c.Backoff < 0 || c.Timeout < 0:
		return errors.NotValidf("Config.Validate: RereadInterval %s, Backoff %s, Timeout %s (none may be negative)",
			c.RereadInterval, c.Backoff, c.Timeout)
	}
	return nil
}

// errRewatch is the cause of the end of a watch after Rewatch.
var errRewatch = errors.New("Rewatch was called")

// Mirror is a copy of the keys with a prefix.
type Mirror struct {
	config Config
	// mu guards entries, revision, adopted, adoptedAt and currentAt, and orders the calls of Changed.
	mu       sync.Mutex
	entries  map[string]kvs.Entry
	revision kvs.Revision
	// adopted is the revision of the last list that Adopt has applied, adoptedAt when it was read.
	adopted   kvs.Revision
	adoptedAt time.Time
	// delivered is the revision that Delivered returns.
	delivered atomic.Int64
	// shared is the copy as other goroutines may read it; nil before the first read.
	shared atomic.Pointer[kvs.Snapshot]
	// began is when the mirror was made; confirmedAt is the time of the latest Confirm, in nanoseconds
	// after that, so that a step of the wall clock does not change ages. It is zero before the first.
	began       time.Time
	confirmedAt atomic.Int64
	// changed is the revision that Changed returns.
	changed atomic.Int64
	// down is true while reads or watches fail.
	down   bool
	outage Outage
	// currentAt is when the copy was last known to be complete.
	currentAt time.Time
	// rereadNow gets a value when Reread, Pause or Resume is called, rewatchNow when Rewatch is.
	rereadNow, rewatchNow chan struct{}
	pause                 pause
}

// New returns a mirror that is empty until Run has read the keys.
//
// Errors: NotValid if the config is not valid.
func New(c Config) (*Mirror, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Mirror{config: c, began: time.Now(), rereadNow: make(chan struct{}, 1), rewatchNow: make(chan struct{}, 1)}, nil
}

// Reread ends the watch, so that all keys are read again at once. It is for callers
// that have learned in another way that the copy is behind.
func (m *Mirror) Reread() {
	select {
	case m.rereadNow <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for m.waitWhilePaused(ctx) {
		err := m.readAndWatch(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.setDown(true, err)
			m.backOff(ctx)
		}
	}
	return nil
}

func (m *Mirror) setDown(down bool, cause error) {
	if down != m.down {
		m.down = down
		m.config.DownChanged(down, cause)
	}
}

// readAndWatch reads all keys and follows a watch until RereadInterval has passed,
// Reread is called or the watch fails. It returns an error if the service fails, but
// not if the watch got no response in time, as only its connection may have failed, nor if
// its revision was compacted: the next read is the remedy for both. If a revision is
// compacted soon after a read, it waits first.
func (m *Mirror) readAndWatch(ctx context.Context) error {
	if err := m.readAll(ctx); err != nil {
		return errors.Annotate(err, "Mirror.readAndWatch")
	}
	readAt := time.Now()
	watchCtx, cancel := context.WithTimeout(ctx, m.config.RereadInterval)
	defer cancel()
	go func() {
		select {
		case <-m.rereadNow:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	m.pause.watching.Store(true)
	err := m.watch(watchCtx)
	m.pause.watching.Store(false)
	if m.pause.paused.Load() {
		return nil
	}
	if watchCtx.Err() != nil || errors.Is(err, kvs.ErrCompacted) || errors.Is(err, context.DeadlineExceeded) {
		m.config.Log.WithFields(logrus.Fields{"event": "mirrorEnd", "prefix": m.config.Prefix, "revision": m.Revision(), "cause": err}).Info("watch ended, reading all keys again")
		if errors.Is(err, kvs.ErrCompacted) && time.Since(readAt) < m.config.Backoff {
			m.backOff(ctx)
		}
		return nil
	}
	return errors.Annotate(err, "Mirror.readAndWatch")
}

// watch follows the changes of the keys until ctx ends or a watch fails. Rewatch makes it begin another
// watch where the one before ended.
func (m *Mirror) watch(ctx context.Context) error {
	for {
		watchCtx, cancel := context.WithCancelCause(ctx)
		select {
		case <-m.rewatchNow:
		default:
		}
		go func() {
			select {
			case <-m.rewatchNow:
				cancel(errRewatch)
			case <-watchCtx.Done():
			}
		}()
		m.mu.Lock()
		from := m.revision + 1
		m.delivered.Store(int64(m.revision))
		m.mu.Unlock()
		err := m.config.Service.Watch(watchCtx, m.config.Prefix, from, m.apply)
		again := context.Cause(watchCtx) == errRewatch && ctx.Err() == nil
		cancel(nil)
		if !again {
			return err
		}
		m.config.Log.WithFields(logrus.Fields{"event": "mirrorRewatch", "prefix": m.config.Prefix, "revision": from - 1}).Info("watch delivers nothing, another one goes on")
	}
}

func (m *Mirror) readAll(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.config.Timeout)
	defer cancel()
	began := time.Now()
	snap, err := m.config.Service.List(ctx, m.config.Prefix)
	if err != nil {
		m.outage.Failed(began, err)
		return err
	}
	m.setDown(false, nil)
	if failures, lastDown := m.outage.End(); failures > 0 {
		m.config.OutageEnded(lastDown)
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.revision != 0 && snap.Revision.Era() > m.revision.Era() {
		m.config.Restored(m.revision, snap.Revision)
	}
	// A list that was adopted meanwhile may be newer.
	if newer := m.adoptedAt.After(began) && m.revision > snap.Revision && m.revision.Era() == snap.Revision.Era(); !newer {
		m.replace(snap)
		m.adopted = 0
	}
	m.config.Answered(SourceKeys)
	m.config.Log.WithFields(logrus.Fields{"event": "mirrorRead", "prefix": m.config.Prefix, "revision": m.revision, "entries": len(snap.Entries)}).Info("read all keys")
	since := m.currentAt
	if confirmed := m.CompleteAt(); confirmed.After(since) && !since.IsZero() {
		since = confirmed
	}
	m.currentAt = began
	m.Confirm(began)
	m.publish(time.Since(since))
	return nil
}

func (m *Mirror) apply(b kvs.Batch) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.config.Answered(SourceWatch)
	for _, e := range b.Events {
		m.noteChange(e.Entry.ModRevision)
		// The list that was adopted has this change, and maybe later ones of the same key.
		if m.adopted != 0 && e.Entry.ModRevision <= m.adopted {
			continue
		}
		if e.Kind == kvs.EventDelete {
			delete(m.entries, e.Entry.Key)
		} else {
			m.entries[e.Entry.Key] = e.Entry
		}
	}
	m.revision = max(m.revision, b.Revision)
	m.delivered.Store(max(m.delivered.Load(), int64(b.Revision)))
	m.currentAt = time.Now()
	m.Confirm(m.currentAt)
	if len(b.Events) > 0 {
		m.publish(0)
		return nil
	}
	m.shared.Store(&kvs.Snapshot{Revision: m.revision, Entries: m.shared.Load().Entries})
	return nil
}

// Prefix returns the prefix of the keys.
func (m *Mirror) Prefix() string { return m.config.Prefix }

// Revision returns the revision of the copy, zero before the first read. It may be called from
// any goroutine.
func (m *Mirror) Revision() kvs.Revision {
	if shared := m.shared.Load(); shared != nil {
		return shared.Revision
	}
	return 0
}

// Lacks reports whether the copy is older than a list of the keys with the prefix and differs
// from it. It may be called from any goroutine.
func (m *Mirror) Lacks(list kvs.Snapshot) bool {
	shared := m.shared.Load()
	switch {
	case shared == nil || shared.Revision >= list.Revision:
		return false
	case shared.Revision.Era() != list.Revision.Era() || len(shared.Entries) != len(list.Entries):
		return true
	}
	revisions := make(map[string]kvs.Revision, len(shared.Entries))
	for _, e := range shared.Entries {
		revisions[e.Key] = e.ModRevision
	}
	return slices.ContainsFunc(list.Entries, func(e kvs.Entry) bool { return revisions[e.Key] != e.ModRevision })
}

// Confirm records that the copy was complete at a time, for callers that have compared it with
// a list that began to be read then. It may be called from any goroutine.
func (m *Mirror) Confirm(at time.Time) {
	after := max(1, int64(at.Sub(m.began)))
	for {
		known := m.confirmedAt.Load()
		if after <= known || m.confirmedAt.CompareAndSwap(known, after) {
			return
		}
	}
}

// CompleteAt returns when the copy was last known to be complete, the zero time before the first read.
// It may be called from any goroutine.
func (m *Mirror) CompleteAt() time.Time {
	if after := m.confirmedAt.Load(); after != 0 {
		return m.began.Add(time.Duration(after))
	}
	return time.Time{}
}

// Age returns how long ago the copy was last known to be complete, zero before the first read.
// It may be called from any goroutine.
func (m *Mirror) Age() time.Duration {
	if at := m.CompleteAt(); !at.IsZero() {
		return time.Since(at)
	}
	return 0
}

// Changed returns a revision up to which a copy has to reach to have all changes that this copy has:
// that of the newest one as far as it is known. A deletion that a list has shown, and not the watch, lies
// between two revisions, of which it returns the older one plus one. It may be called from any goroutine.
func (m *Mirror) Changed() kvs.Revision { return kvs.Revision(m.changed.Load()) }

// noteChange records the revision of a change; m.mu is held.
func (m *Mirror) noteChange(revision kvs.Revision) {
	m.changed.Store(max(m.changed.Load(), int64(revision)))
}

// publish passes the copy to Changed.
func (m *Mirror) publish(delay time.Duration) {
	snap := kvs.Snapshot{Revision: m.revision, Delay: delay, Entries: make(kvs.Entries, 0, len(m.entries))}
	for _, e := range m.entries {
		snap.Entries = append(snap.Entries, e)
	}
	slices.SortFunc(snap.Entries, func(a, b kvs.Entry) int { return strings.Compare(a.Key, b.Key) })
	m.shared.Store(&snap)
	m.config.Changed(snap)
}

// backOff waits for between half and one and a half times Backoff.
func (m *Mirror) backOff(ctx context.Context) {
	wait := m.config.Backoff/2 + time.Duration(m.config.Rand.Int64N(int64(m.config.Backoff)+1))
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
