package origin

import "time"

// begun is a stream that is remembered.
type begun struct {
	Stream
	began time.Time
	// unrecorded is true if its record was given up.
	unrecorded bool
}

// streams remembers the streams that began last. When it is full, the oldest go first.
type streams struct {
	byID map[string]begun
	// ring holds the ids in the order in which they came; next is where the next one goes.
	ring []string
	next int
}

func newStreams(size int) streams {
	return streams{byID: map[string]begun{}, ring: make([]string, 0, size)}
}

// add adds a stream. A known one keeps its place in the order.
func (s *streams) add(now time.Time, id string, stream Stream) {
	_, known := s.byID[id]
	switch {
	case cap(s.ring) == 0:
		return
	case known:
	case len(s.ring) < cap(s.ring):
		s.ring = append(s.ring, id)
	default:
		delete(s.byID, s.ring[s.next])
		s.ring[s.next] = id
		s.next = (s.next + 1) % len(s.ring)
	}
	s.byID[id] = begun{Stream: stream, began: now}
}

func (s *streams) get(now time.Time, id string, keep time.Duration) (Stream, bool) {
	b, ok := s.byID[id]
	return b.Stream, ok && now.Sub(b.began) < keep
}
