package proxy

import (
	"sync"
	"time"

	"gentianwell/core/call"
)

// newConnectionTime is how long requests that may run only once use new connections after
// a replica of their service has refused a request without its id.
const newConnectionTime = 10 * time.Minute

// unclaimedRefusals holds when replicas of each service last sent a refusal without an id.
// On a new connection such a refusal can only belong to the one request that it carries.
type unclaimedRefusals struct {
	mu     sync.Mutex
	latest map[call.Model]time.Time
}

func (u *unclaimedRefusals) record(service call.Model, now time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.latest == nil {
		u.latest = map[call.Model]time.Time{}
	}
	u.latest[service] = now
	for other, at := range u.latest {
		if now.Sub(at) >= newConnectionTime {
			delete(u.latest, other)
		}
	}
}

// areLikely reports whether a replica of the service has sent such a refusal recently.
func (u *unclaimedRefusals) areLikely(service call.Model, now time.Time) bool {
	u.mu.Lock()
	defer u.mu.Unlock()
	at, ok := u.latest[service]
	return ok && now.Sub(at) < newConnectionTime
}
