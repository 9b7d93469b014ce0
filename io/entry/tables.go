package entry

import (
	"sync"
	"sync/atomic"

	"github.com/sirupsen/logrus"

	"gentianwell/core/table"
)

// tables holds the routing table in force and the bytes that it was read from.
type tables struct {
	read func([]byte) (table.Document, error)
	log  logrus.FieldLogger

	current atomic.Pointer[table.Table]
	mu      sync.Mutex
	raw     []byte
}

// Current returns the table in force; nil where there is none yet.
func (t *tables) Current() *table.Table { return t.current.Load() }

// adopt puts a configuration in force if it is newer than the one that is. One
// that cannot be read changes nothing.
func (t *tables) adopt(raw []byte, source string) {
	if len(raw) == 0 {
		return
	}
	document, err := t.read(raw)
	if err != nil {
		t.refuse(source, err)
		return
	}
	next, err := table.New(document)
	if err != nil {
		t.refuse(source, err)
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	before := t.current.Load()
	if !next.Newer(before) {
		return
	}
	t.raw = raw
	t.current.Store(next)
	t.log.WithFields(logrus.Fields{
		"event": "configuration", "source": source, "version": next.Version(), "before": before.Version(), "bytes": len(raw),
		"routes": len(document.Routes), "teams": len(document.Teams),
	}).Info("configuration in force")
}

func (t *tables) refuse(source string, err error) {
	t.log.WithFields(logrus.Fields{"event": "configurationBad", "source": source}).WithError(err).Error("configuration cannot be used, the old one stays in force")
}

// bytes returns what the table in force was read from.
func (t *tables) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.raw
}
