package entry

import (
	"sync"
	"time"

	"gentianwell/core/origin"
)

// originRecord is a record of a stream to write.
type originRecord struct {
	stream origin.Stream
	added  time.Time
	// toldAt is when the other VMs were last told; the writer's lock guards it.
	toldAt time.Time
	// known is closed once every VM can find the record.
	known chan struct{}
	once  sync.Once
}

func newOriginRecord(s origin.Stream, now time.Time) *originRecord {
	return &originRecord{stream: s, added: now, known: make(chan struct{})}
}

func (r *originRecord) setKnown() { r.once.Do(func() { close(r.known) }) }

func (r *originRecord) isKnown() bool {
	select {
	case <-r.known:
		return true
	default:
		return false
	}
}
