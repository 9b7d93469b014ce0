package entry

import (
	"strings"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/proxy"
)

// maxInvalidNotices limits the replicas whose invalid notices have been logged.
const maxInvalidNotices = 1024

// notices acts on what replicas say of themselves in their answers to this VM: that they leave, or
// that they want a pause.
type notices struct {
	router *route.Router
	log    logrus.FieldLogger

	mu sync.Mutex
	// invalid holds the replicas whose invalid notices have been logged.
	invalid map[call.ReplicaID]bool
}

func (n *notices) answered(now time.Time, id call.ReplicaID, info proxy.ResponseInfo) {
	if info.Leaving && n.router.Leave(id) {
		n.log.WithFields(logrus.Fields{"event": "leaving", "replica": id}).Info("backend server says that it leaves, it gets no new requests")
	}
	if info.RetryAfter > 0 && n.router.Pause(now, id, info.RetryAfter) {
		n.log.WithFields(logrus.Fields{"event": "pause", "replica": id, "for": info.RetryAfter.String()}).Info("backend server wants no requests for a while")
	}
	if len(info.InvalidNotices) > 0 {
		n.logInvalid(id, info.InvalidNotices)
	}
}

// logInvalid logs invalid notices, once for each replica.
func (n *notices) logInvalid(id call.ReplicaID, fields []string) {
	n.mu.Lock()
	known := n.invalid[id] || len(n.invalid) >= maxInvalidNotices
	if !known {
		if n.invalid == nil {
			n.invalid = map[call.ReplicaID]bool{}
		}
		n.invalid[id] = true
	}
	n.mu.Unlock()
	if !known {
		n.log.WithFields(logrus.Fields{"event": "noticeInvalid", "replica": id, "value": strings.Join(fields, ", ")}).
			Warn("backend server says something of itself that is not understood (allowed: 1 for leaving, a decimal number of seconds for a pause), it is ignored")
	}
}
