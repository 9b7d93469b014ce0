package node

import (
	"context"
	"math"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/route"
	"gentianwell/io/back"
	"gentianwell/io/runner"
)

// loadPoller reads the replicas' load reports, with at most one read of a replica
// in progress.
type loadPoller struct {
	fetch  func(context.Context, back.Target) (back.Load, error)
	report func(now time.Time, id call.ReplicaID, l route.Load) bool
	// view records the result of each read as a health check.
	view *member.View
	now  func() time.Time
	// mu guards reading, the replicas with a read in progress.
	mu      sync.Mutex
	reading map[call.ReplicaID]bool
	// maxReads bounds the reads that one poll starts; if there are more replicas, they
	// take turns. last, modulo the number of replicas, is the index of the one polled
	// last.
	maxReads int
	last     int
}

// The maximum number of reads that one poll starts: of the replicas in use, and of
// silent ones, so that those are noticed when they answer again.
const (
	maxWatchedReads = 12
	maxSilentReads  = 4
)

// poll starts to read the reports of at most maxReads replicas.
func (l *loadPoller) poll(replicas route.Replicas) {
	for range min(len(replicas), l.maxReads) {
		l.last++
		r := replicas[l.last%len(replicas)]
		if l.begin(r.ID) {
			go l.read(back.Target{ID: r.ID, Address: r.Address})
		}
	}
}

func (l *loadPoller) begin(id call.ReplicaID) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reading[id] {
		return false
	}
	l.reading[id] = true
	return true
}

func (l *loadPoller) read(t back.Target) {
	defer l.end(t.ID)
	requestedAt := l.now()
	load, err := l.fetch(context.Background(), t)
	if err != nil && !errors.Is(err, back.ErrNoReport) {
		l.view.Missed(l.now(), call.VMID(t.ID))
		return
	}
	l.view.Answered(l.now(), call.VMID(t.ID), member.StateLive)
	if err != nil {
		// It answers, but without a report: the load from other VMs is unknown.
		return
	}
	l.report(l.now(), t.ID, route.Load{Running: load.Running, Waiting: load.Waiting, Slots: l.routerSlots(t.ID, load.Slots), MeasuredAt: requestedAt})
}

// routerSlots returns the number of slots that the router counts for a backend
// server; zero if the server does not report any. For an engine it is the reported
// number times runner.UrgentSlotFactor.
func (l *loadPoller) routerSlots(id call.ReplicaID, slots int) int {
	if l.view.Verdict(l.now(), call.VMID(id)).VM.Role != member.RoleEngine {
		return slots
	}
	return int(math.Ceil(float64(slots) * runner.UrgentSlotFactor))
}

func (l *loadPoller) end(id call.ReplicaID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.reading, id)
}
