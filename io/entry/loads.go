package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/peerpb"
)

// reportAge is the age up to which load reports are passed on. A report is of use
// for about as long as a request runs.
const reportAge = 2 * time.Second

// loads passes load reports between VMs. A report comes with an answer, so that one
// VM of many hears from each replica every few seconds only, while all together
// hear from it many times a second.
type loads struct {
	router *route.Router

	mu sync.Mutex
	// byHash finds a replica by the short name that messages use.
	byHash map[uint32]call.ReplicaID
}

func replicaHash(id call.ReplicaID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// know takes the replicas that messages may name.
func (l *loads) know(list route.Replicas) {
	byHash := make(map[uint32]call.ReplicaID, len(list))
	for _, replica := range list {
		byHash[replicaHash(replica.ID)] = replica.ID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byHash = byHash
}

// message returns the reports for another VM.
func (l *loads) message(now time.Time) []*peerpb.Load {
	reports := l.router.Reports(now, reportAge)
	out := make([]*peerpb.Load, 0, len(reports))
	for id, report := range reports {
		out = append(out, &peerpb.Load{
			Replica: replicaHash(id), Running: uint32(max(0, report.Running)), Waiting: uint32(max(0, report.Waiting)),
			Slots: uint32(max(0, report.Slots)), AgeMilliseconds: uint32(max(0, now.Sub(report.MeasuredAt).Milliseconds())),
		})
	}
	return out
}

// heard takes the reports of another VM. The way that a message takes counts as no
// time, which is within a few milliseconds.
func (l *loads) heard(now time.Time, reports []*peerpb.Load) {
	l.mu.Lock()
	byHash := l.byHash
	l.mu.Unlock()
	for _, report := range reports {
		id, ok := byHash[report.Replica]
		if !ok {
			continue
		}
		l.router.Report(now, id, route.Load{
			Running: int(report.Running), Waiting: int(report.Waiting), Slots: int(report.Slots),
			MeasuredAt: now.Add(-time.Duration(report.AgeMilliseconds) * time.Millisecond),
		})
	}
}
