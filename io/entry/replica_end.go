package entry

import (
	"slices"
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/proxy"
)

const (
	// replicaEndTime is the longest time between a lost run and the news that its replica
	// has ended, for which the run counts as lost with the replica. The entry of a replica
	// goes some seconds after it has ended.
	replicaEndTime = 5 * time.Second
	// maxLostRuns limits the lost runs that are kept for replicaEndTime.
	maxLostRuns = 1024
)

// replicaEnds brings together lost runs and the ends of replicas, of which the entries in the
// store tell: a replica that starts again at once refuses no connection. Its zero value is
// ready to use.
type replicaEnds struct {
	mu sync.Mutex
	// lost holds runs that were lost at replicas of whose end nothing was known.
	lost []proxy.LostRun
	// ended holds when the VM learned of the latest end of a replica.
	ended map[call.ReplicaID]time.Time
}

// hasEnded reports whether the replica of a lost run has ended since the run was sent. If
// not, replicaEnded returns the run should it end soon.
func (e *replicaEnds) hasEnded(now time.Time, lost proxy.LostRun) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	if lost.Sent.Before(e.ended[lost.Target.ID]) {
		return true
	}
	if len(e.lost) < maxLostRuns {
		e.lost = append(e.lost, lost)
	}
	return false
}

// replicaEnded records the end of a replica and returns the runs that were lost with it.
func (e *replicaEnds) replicaEnded(now time.Time, id call.ReplicaID) []proxy.LostRun {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	if e.ended == nil {
		e.ended = map[call.ReplicaID]time.Time{}
	}
	e.ended[id] = now
	var out []proxy.LostRun
	e.lost = slices.DeleteFunc(e.lost, func(lost proxy.LostRun) bool {
		if lost.Target.ID != id {
			return false
		}
		out = append(out, lost)
		return true
	})
	return out
}

// prune removes what is older than replicaEndTime; e.mu is held.
func (e *replicaEnds) prune(now time.Time) {
	old := now.Add(-replicaEndTime)
	e.lost = slices.DeleteFunc(e.lost, func(lost proxy.LostRun) bool { return lost.At.Before(old) })
	for id, at := range e.ended {
		if at.Before(old) {
			delete(e.ended, id)
		}
	}
}
