package node

import (
	"context"
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/back"
)

// loads reads the replicas' load reports, each at most once at a time.
type loads struct {
	fetch  func(context.Context, back.Target) (back.Load, error)
	report func(now time.Time, id call.ReplicaID, l route.Load) bool
	now    func() time.Time
	mu     sync.Mutex
	busy   map[call.ReplicaID]bool
}

// poll begins to read the report of each replica.
func (l *loads) poll(replicas route.Replicas) {
	for _, r := range replicas {
		if l.begin(r.ID) {
			go l.read(back.Target{ID: r.ID, Address: r.Address})
		}
	}
}

func (l *loads) begin(id call.ReplicaID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.busy[id] {
		return false
	}
	l.busy[id] = true
	return true
}

func (l *loads) read(t back.Target) {
	defer l.end(t.ID)
	asked := l.now()
	load, err := l.fetch(context.Background(), t)
	if err != nil {
		// The report grows old and counts for less; runs tell whether it fails.
		return
	}
	l.report(l.now(), t.ID, route.Load{Running: load.Running, Waiting: load.Waiting, Taken: asked})
}

func (l *loads) end(id call.ReplicaID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, id)
}
