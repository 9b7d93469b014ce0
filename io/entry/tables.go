package entry

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"gentianwell/core/table"
)

// tables holds the current routing table and the bytes it was parsed from.
type tables struct {
	parse func([]byte) (table.Document, error)
	// hearing returns the fields that say how this VM heard of a version.
	hearing func(version int64) logrus.Fields
	log     logrus.FieldLogger

	current atomic.Pointer[table.Table]
	// stored is the newest version that this VM's own copy of the store has had.
	stored atomic.Int64
	mu     sync.Mutex
	raw    []byte
}

// Current returns the current table, or nil if there is none yet.
func (t *tables) Current() *table.Table { return t.current.Load() }

// sourceStore is the source of configurations of this VM's own copy of the store.
const sourceStore = "store"

// noVersion stands for the version of a VM without a table. Every version is newer.
const noVersion = -1

// version returns the version of the current table, or noVersion.
func (t *tables) version() int64 {
	if t.Current() == nil {
		return noVersion
	}
	return t.Current().Version()
}

// adopt makes a configuration the current one if it is newer, and returns its version. One that is
// not valid is logged and ignored; it counts as noVersion.
func (t *tables) adopt(raw []byte, source string) int64 {
	if len(raw) == 0 {
		return noVersion
	}
	document, err := t.parse(raw)
	if err != nil {
		t.logInvalid(source, err)
		return noVersion
	}
	for _, err := range document.CloseInvalid() {
		t.log.WithFields(logrus.Fields{"event": "routeBad", "source": source, "version": document.Version}).WithError(err).Error("route is not valid, its requests are refused")
	}
	for _, err := range document.CloseAutoscale() {
		t.log.WithFields(logrus.Fields{"event": "autoscaleBad", "source": source, "version": document.Version}).WithError(err).Error("autoscaling of a service is not valid, no replicas are ordered for it")
	}
	next, err := table.New(document)
	if err != nil {
		t.logInvalid(source, err)
		return noVersion
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if source == sourceStore {
		t.stored.Store(max(t.stored.Load(), next.Version()))
	}
	before := t.current.Load()
	if !next.Newer(before) {
		return next.Version()
	}
	t.raw = raw
	t.current.Store(next)
	t.log.WithFields(t.hearing(next.Version())).WithFields(logrus.Fields{
		"event": "configuration", "source": source, "version": next.Version(), "before": before.Version(), "bytes": len(raw),
		"routes": len(document.Routes), "teams": len(document.Teams),
	}).Info("configuration in force")
	return next.Version()
}

func (t *tables) logInvalid(source string, err error) {
	t.log.WithFields(logrus.Fields{"event": "configurationBad", "source": source}).WithError(err).Error("configuration is not valid, the current one stays in force")
}

// bytes returns the bytes that the current table was parsed from.
func (t *tables) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.raw
}
