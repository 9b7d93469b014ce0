// Package mirror keeps a copy of all keys below a prefix of the platform's
// key-value service, by watch, and reads everything anew at intervals, so that
// an event that a watch has lost without a word is noticed.
//
// # Usage
//
//	m, err := mirror.New(mirror.Config{
//		Service: svc, Prefix: "platform/vms/", Changed: func(s kvs.Snapshot) { … }, Rand: rng, Log: log,
//	})
//	err = m.Run(ctx)
//
// While the service is down, the last copy stays in use.
package mirror

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
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
	// Changed gets each new copy, entries in key order.
	Changed func(kvs.Snapshot)
	// Rand spreads the attempts of many VMs after an outage.
	Rand *rand.Rand
	Log  logrus.FieldLogger
	// RereadInterval is how often everything is read anew, Backoff the wait after a
	// failure, on average.
	RereadInterval time.Duration
	Backoff        time.Duration
	// Timeout bounds one read.
	Timeout time.Duration
	// DownChanged is told when reading begins to fail and, before the copy that is read
	// then, when it works again; nil logs both.
	DownChanged func(down bool, cause error)
}

// Defaults fills in the fields left zero.
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
}

func (c *Config) logDown(down bool, cause error) {
	c.Log.WithFields(logrus.Fields{"event": "mirror", "prefix": c.Prefix, "down": down, "cause": cause}).Warn("reading the platform's service")
}

// Validate checks the configuration.
func (c *Config) Validate() error {
	switch {
	case c.Prefix == "":
		return errors.NotValidf("Config.Validate: empty Prefix")
	case c.Changed == nil, c.Rand == nil, c.Log == nil, c.Service.List == nil, c.Service.Watch == nil:
		return errors.NotValidf("Config.Validate: a needed field is nil")
	case c.RereadInterval < 0 || c.Backoff < 0 || c.Timeout < 0:
		return errors.NotValidf("Config.Validate: a negative duration")
	}
	return nil
}

// Mirror is a copy of the keys below a prefix.
type Mirror struct {
	c    Config
	copy map[string]kvs.Entry
	rev  kvs.Revision
	// seen is rev for other goroutines.
	seen atomic.Int64
	// down is true while reading fails.
	down bool
	// again asks for everything to be read anew.
	again chan struct{}
}

// New returns a mirror that is empty until Run has read it.
//
// Errors: NotValid.
func New(c Config) (*Mirror, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	return &Mirror{c: c, again: make(chan struct{}, 1)}, nil
}

// Reread ends the watch, so that everything is read anew at once. It is for whoever
// learns by other means that the copy is behind.
func (m *Mirror) Reread() {
	select {
	case m.again <- struct{}{}:
	default:
	}
}

// Run keeps the copy up to date until ctx ends.
func (m *Mirror) Run(ctx context.Context) error {
	for ctx.Err() == nil {
		err := m.round(ctx)
		if ctx.Err() != nil {
			return nil
		}
		if err != nil {
			m.setDown(true, err)
			m.pause(ctx)
		}
	}
	return nil
}

func (m *Mirror) setDown(down bool, cause error) {
	if down != m.down {
		m.down = down
		m.c.DownChanged(down, cause)
	}
}

// round reads everything and follows the watch until the next reread is due.
func (m *Mirror) round(ctx context.Context) error {
	if err := m.list(ctx); err != nil {
		return errors.Annotate(err, "Mirror.round")
	}
	watchCtx, cancel := context.WithTimeout(ctx, m.c.RereadInterval)
	defer cancel()
	go func() {
		select {
		case <-m.again:
			cancel()
		case <-watchCtx.Done():
		}
	}()
	err := m.c.Service.Watch(watchCtx, m.c.Prefix, m.rev+1, m.apply)
	if watchCtx.Err() != nil || errors.Is(err, kvs.ErrCompacted) {
		m.c.Log.WithFields(logrus.Fields{"event": "mirrorEnd", "prefix": m.c.Prefix, "revision": m.rev, "cause": err}).Info("watch ended, all keys are read anew")
		return nil
	}
	return errors.Annotate(err, "Mirror.round")
}

func (m *Mirror) list(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, m.c.Timeout)
	defer cancel()
	snap, err := m.c.Service.List(ctx, m.c.Prefix)
	if err != nil {
		return err
	}
	m.setDown(false, nil)
	m.copy = make(map[string]kvs.Entry, len(snap.Entries))
	for _, e := range snap.Entries {
		m.copy[e.Key] = e
	}
	m.rev = snap.Revision
	m.seen.Store(int64(m.rev))
	m.c.Log.WithFields(logrus.Fields{"event": "mirrorRead", "prefix": m.c.Prefix, "revision": m.rev, "entries": len(snap.Entries)}).Info("all keys read")
	m.publish()
	return nil
}

func (m *Mirror) apply(b kvs.Batch) error {
	for _, e := range b.Events {
		if e.Kind == kvs.EventDelete {
			delete(m.copy, e.Entry.Key)
		} else {
			m.copy[e.Entry.Key] = e.Entry
		}
	}
	m.rev = max(m.rev, b.Revision)
	m.seen.Store(int64(m.rev))
	if len(b.Events) > 0 {
		m.publish()
	}
	return nil
}

// Revision returns the revision that the copy has got to.
func (m *Mirror) Revision() kvs.Revision { return kvs.Revision(m.seen.Load()) }

func (m *Mirror) publish() {
	snap := kvs.Snapshot{Revision: m.rev, Entries: make(kvs.Entries, 0, len(m.copy))}
	for _, e := range m.copy {
		snap.Entries = append(snap.Entries, e)
	}
	slices.SortFunc(snap.Entries, func(a, b kvs.Entry) int { return strings.Compare(a.Key, b.Key) })
	m.c.Changed(snap)
}

func (m *Mirror) pause(ctx context.Context) {
	wait := m.c.Backoff/2 + time.Duration(m.c.Rand.Int64N(int64(m.c.Backoff)+1))
	select {
	case <-ctx.Done():
	case <-time.After(wait):
	}
}
