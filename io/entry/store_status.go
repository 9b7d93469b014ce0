package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// storeStatus records whether the platform's store can be read.
type storeStatus struct {
	now func() time.Time
	log logrus.FieldLogger
	// onChange is called after each change of the status.
	onChange func()

	mu sync.Mutex
	// down is true for the prefixes whose reads fail.
	down   map[string]bool
	lostAt time.Time
}

// set records whether reads of a prefix fail.
func (s *storeStatus) set(prefix string, down bool, cause error) {
	if s.update(prefix, down, cause) {
		s.onChange()
	}
}

// update is set without the call of onChange; it reports whether the status changed.
func (s *storeStatus) update(prefix string, down bool, cause error) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down == nil {
		s.down = map[string]bool{}
	}
	if s.down[prefix] == down {
		return false
	}
	s.down[prefix] = down
	if down {
		s.lostAt = s.now()
		s.log.WithFields(logrus.Fields{"event": "storeLost", "prefix": prefix}).WithError(cause).Warn("the store cannot be read, the last known state stays in use")
		return true
	}
	s.log.WithFields(logrus.Fields{"event": "storeRegained", "prefix": prefix, "lostFor": s.now().Sub(s.lostAt).String()}).Info("the store can be read again")
	return true
}

// up reports whether the last read of every prefix succeeded.
func (s *storeStatus) up() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, down := range s.down {
		if down {
			return false
		}
	}
	return true
}
