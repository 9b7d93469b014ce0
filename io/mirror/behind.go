package mirror

import (
	"time"

	"gentianwell/io/kvs"
)

// Adopt applies a list of the keys with the prefix that another reader has read, if it is newer than
// the copy. The watch goes on from the copy's revision; what it delivers of the changes in the list
// changes nothing any more. It reports whether the copy now has all that is in the list. It may be
// called from any goroutine.
func (m *Mirror) Adopt(list kvs.Snapshot, readAt time.Time) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	switch {
	case m.revision == 0 || list.Revision.Era() != m.revision.Era():
		return false
	case list.Revision <= m.revision:
		return true
	}
	delay := m.Age()
	m.config.Answered(SourceAdopted)
	m.replace(list)
	m.adopted, m.adoptedAt = list.Revision, readAt
	m.Confirm(readAt)
	m.publish(delay)
	return true
}

// Rewatch ends the watch call and makes another one from the copy's revision on. It is for callers
// that have learned that the watch delivers nothing. It may be called from any goroutine.
func (m *Mirror) Rewatch() {
	select {
	case m.rewatchNow <- struct{}{}:
	default:
	}
}

// Delivered returns the revision up to which the watch has delivered the changes, at least the one from
// which it goes on; zero before the first read. It may be called from any goroutine.
func (m *Mirror) Delivered() kvs.Revision { return kvs.Revision(m.delivered.Load()) }

// replace replaces the copy; m.mu is held.
func (m *Mirror) replace(list kvs.Snapshot) {
	before := m.entries
	m.entries = make(map[string]kvs.Entry, len(list.Entries))
	kept := 0
	for _, e := range list.Entries {
		m.entries[e.Key] = e
		m.noteChange(e.ModRevision)
		if _, ok := before[e.Key]; ok {
			kept++
		}
	}
	if m.revision != 0 && kept < len(before) {
		m.noteChange(m.revision + 1)
	}
	m.revision = list.Revision
}
