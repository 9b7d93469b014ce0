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
	fields := logrus.Fields{"event": "configuration", "source": source, "bytes": len(raw)}
	document, err := t.read(raw)
	if err != nil {
		t.log.WithFields(fields).WithError(err).Error("configuration cannot be read, the old one stays in force")
		return
	}
	next, err := table.New(document)
	if err != nil {
		t.log.WithFields(fields).WithError(err).Error("configuration is not valid, the old one stays in force")
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
	fields["version"], fields["before"] = next.Version(), before.Version()
	fields["routes"], fields["teams"] = len(document.Routes), len(document.Teams)
	t.log.WithFields(fields).Info("configuration in force")
}

// bytes returns what the table in force was read from.
func (t *tables) bytes() []byte {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.raw
}
