package entry

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/peerpb"
)

// maxReportAge is the age up to which load reports are forwarded. A report is useful
// for about as long as a request runs.
const maxReportAge = 2 * time.Second

// loads forwards load reports between VMs. A replica sends its report with a response,
// so one of many VMs gets a report from each replica only every few seconds, while all
// VMs together get many a second.
type loads struct {
	router *route.Router

	mu sync.Mutex
	// byHash maps the hashes that messages use for replicas to the replicas' ids.
	byHash map[uint32]call.ReplicaID
}

func replicaHash(id call.ReplicaID) uint32 { return uint32(xxhash.Sum64String(string(id))) }

// setReplicas sets the replicas that messages may name.
func (l *loads) setReplicas(list route.Replicas) {
	byHash := make(map[uint32]call.ReplicaID, len(list))
	for _, replica := range list {
		byHash[replicaHash(replica.ID)] = replica.ID
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byHash = byHash
}

// message returns the load reports to send to another VM.
func (l *loads) message(now time.Time) []*peerpb.Load {
	reports := l.router.Reports(now, maxReportAge)
	out := make([]*peerpb.Load, 0, len(reports))
	for id, report := range reports {
		out = append(out, &peerpb.Load{
			Replica: replicaHash(id), Running: uint32(max(0, report.Running)), Waiting: uint32(max(0, report.Waiting)),
			Slots: uint32(max(0, report.Slots)), AgeMilliseconds: uint32(max(0, now.Sub(report.MeasuredAt).Milliseconds())),
			WorkPercent: uint32(max(0, report.WorkPercent)),
		})
	}
	return out
}

// receive passes the load reports of another VM to the router. It ignores the time that
// the message took, which is an error of a few milliseconds.
func (l *loads) receive(now time.Time, reports []*peerpb.Load) {
	l.mu.Lock()
	byHash := l.byHash
	l.mu.Unlock()
	for _, report := range reports {
		id, ok := byHash[report.Replica]
		if !ok {
			continue
		}
		l.router.Report(now, id, route.Load{
			Running: int(report.Running), Waiting: int(report.Waiting), Slots: int(report.Slots), WorkPercent: int(report.WorkPercent),
			MeasuredAt: now.Add(-time.Duration(report.AgeMilliseconds) * time.Millisecond),
		})
	}
}
