package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"
)

// link is the state of the connection to the platform's store.
type link struct {
	now      func() time.Time
	log      logrus.FieldLogger
	regained func()
	// changed is called after each change.
	changed func()

	mu sync.Mutex
	// down holds the prefixes whose reading fails.
	down  map[string]bool
	since time.Time
}

// set notes whether the reading of a prefix fails.
func (l *link) set(prefix string, down bool, cause error) {
	if l.note(prefix, down, cause) {
		l.changed()
	}
}

func (l *link) note(prefix string, down bool, cause error) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.down == nil {
		l.down = map[string]bool{}
	}
	if l.down[prefix] == down {
		return false
	}
	l.down[prefix] = down
	if down {
		l.since = l.now()
		l.log.WithFields(logrus.Fields{"event": "storeLost", "prefix": prefix}).WithError(cause).Warn("store lost, what is known stays in use")
		return true
	}
	l.log.WithFields(logrus.Fields{"event": "storeRegained", "prefix": prefix, "lostFor": l.now().Sub(l.since).String()}).Info("store regained")
	l.regained()
	return true
}

// up reports whether everything could be read the last time.
func (l *link) up() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, down := range l.down {
		if down {
			return false
		}
	}
	return true
}
