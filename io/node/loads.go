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

// loads reads the replicas' load reports, each at most once at a time.
type loads struct {
	fetch  func(context.Context, back.Target) (back.Load, error)
	report func(now time.Time, id call.ReplicaID, l route.Load) bool
	// view gets each read as a health check.
	view *member.View
	now  func() time.Time
	mu   sync.Mutex
	busy map[call.ReplicaID]bool
	// most bounds the reports read at a time; more replicas take turns.
	most int
	turn int
}

// How many reports are read at a time: of the replicas in use, and of silent
// ones, so that they are found when they answer again.
const (
	maxPolls       = 12
	maxSilentPolls = 4
)

// poll begins to read the reports of the replicas, of so many at a time.
func (l *loads) poll(replicas route.Replicas) {
	for range min(len(replicas), l.most) {
		l.turn++
		r := replicas[l.turn%len(replicas)]
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
	if err != nil && !errors.Is(err, back.ErrNoReport) {
		l.view.Missed(l.now(), call.VMID(t.ID))
		return
	}
	l.view.Answered(l.now(), call.VMID(t.ID), member.StateLive)
	if err != nil {
		// It lives, but has no report: what it has from others is not known.
		return
	}
	l.report(l.now(), t.ID, route.Load{Running: load.Running, Waiting: load.Waiting, Slots: l.places(t.ID, load.Slots), MeasuredAt: asked})
}

// places returns the places that the router counts for a backend server; zero
// where it does not say how many it has.
func (l *loads) places(id call.ReplicaID, slots int) int {
	if l.view.Verdict(l.now(), call.VMID(id)).VM.Role != member.RoleEngine {
		return slots
	}
	return int(math.Ceil(float64(slots) * runner.UrgentSlotFactor))
}

func (l *loads) end(id call.ReplicaID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	delete(l.busy, id)
}
