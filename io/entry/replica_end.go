package entry

import (
	"maps"
	"slices"
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/proxy"
)

const (
	// replicaEndTime is the longest time between a lost run and the news that its replica
	// has ended, for which the run counts as lost with the replica. The entry of a replica
	// goes some seconds after it has ended.
	replicaEndTime = 5 * time.Second
	// maxLostRuns limits the lost runs that are kept for replicaEndTime, maxSilentRuns for each
	// replica those that nobody waited for any more: more than a replica runs at the same time.
	maxLostRuns   = 1024
	maxSilentRuns = 128
	// endedTime is how long ends are kept: a run whose caller waits long ends that long after
	// the replica has fallen silent.
	endedTime = time.Minute
	// pruneInterval is how often old runs are removed, of which overload makes many.
	pruneInterval = time.Second
)

// kindReplicaEnd is the kind of the gossip items for ends of replicas that a VM has met itself:
// other VMs may have runs there that got no response. The key is the replica's id.
const kindReplicaEnd spread.Kind = "replicaEnd"

// tellEnd tells the other VMs that a replica has ended, once within crashWindow.
func (c *crashes) tellEnd(id call.ReplicaID) {
	now := c.now()
	item := spread.ID{Kind: kindReplicaEnd, Key: string(id)}
	if _, told := c.items.Get(now, item); !told {
		c.items.Put(now, spread.Item{ID: item, Version: uint64(now.UnixMilli()), Expires: now.Add(crashWindow)})
	}
}

// replicaEnds brings together lost runs and the ends of replicas, of which the entries in the
// store tell: a replica that starts again at once refuses no connection. Its zero value is
// ready to use.
type replicaEnds struct {
	mu sync.Mutex
	// lost holds runs that were lost at replicas of whose end nothing was known, silent by
	// replica those of them that are LostRun.Silent.
	lost   []proxy.LostRun
	silent map[call.ReplicaID][]proxy.LostRun
	// heard holds when the latest answered request of each replica in silent was sent.
	heard  map[call.ReplicaID]time.Time
	pruned time.Time
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
	switch {
	case lost.Silent:
		if e.silent == nil {
			e.silent = map[call.ReplicaID][]proxy.LostRun{}
		}
		runs := e.silent[lost.Target.ID]
		e.silent[lost.Target.ID] = append(runs[max(0, len(runs)+1-maxSilentRuns):], lost)
	case len(e.lost) < maxLostRuns:
		e.lost = append(e.lost, lost)
	}
	return false
}

// answered records that a replica has answered a request that was sent to it at a time. A
// replica that does so after a silent run was only slow.
func (e *replicaEnds) answered(id call.ReplicaID, sent time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if len(e.silent[id]) == 0 || !sent.After(e.heard[id]) {
		return
	}
	if e.heard == nil {
		e.heard = map[call.ReplicaID]time.Time{}
	}
	e.heard[id] = sent
}

// replicaEnded records the end of a replica and returns the runs that were lost with it, and the
// number of silent runs that were not. If the replica has started again under its id, its
// answers after a silent run may be those of the new process, and are no sign that the one
// before went on.
func (e *replicaEnds) replicaEnded(now time.Time, id call.ReplicaID, restarted bool) (lost []proxy.LostRun, others int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.prune(now)
	if e.ended == nil {
		e.ended = map[call.ReplicaID]time.Time{}
	}
	e.ended[id] = now
	old := now.Add(-replicaEndTime)
	var out []proxy.LostRun
	e.lost = slices.DeleteFunc(e.lost, func(lost proxy.LostRun) bool {
		if lost.Target.ID != id {
			return false
		}
		if !lost.At.Before(old) {
			out = append(out, lost)
		}
		return true
	})
	all := len(e.silent[id])
	silent := slices.DeleteFunc(e.silent[id], func(lost proxy.LostRun) bool {
		return lost.At.Before(old) || !restarted && e.heard[id].After(lost.At)
	})
	delete(e.silent, id)
	delete(e.heard, id)
	silent = oneCrash(silent)
	return append(out, silent...), all - len(silent)
}

// oneCrash returns those of the silent runs of a replica that may have been on it when it
// crashed, with times that count as one crash. A run that was sent long after another one had
// got no response met a replica that was silent already.
func oneCrash(silent []proxy.LostRun) []proxy.LostRun {
	if len(silent) == 0 {
		return nil
	}
	first := slices.MinFunc(silent, func(a, b proxy.LostRun) int { return a.At.Compare(b.At) }).At
	latest := first.Add(crashWindow)
	silent = slices.DeleteFunc(silent, func(lost proxy.LostRun) bool { return lost.Sent.After(latest) })
	for i := range silent {
		if silent[i].At.After(latest) {
			silent[i].At = latest
		}
	}
	return silent
}

// prune removes what is older than replicaEndTime; e.mu is held.
func (e *replicaEnds) prune(now time.Time) {
	if now.Sub(e.pruned) < pruneInterval {
		return
	}
	e.pruned = now
	old := now.Add(-replicaEndTime)
	isOld := func(lost proxy.LostRun) bool { return lost.At.Before(old) }
	e.lost = slices.DeleteFunc(e.lost, isOld)
	for id, runs := range e.silent {
		if e.silent[id] = slices.DeleteFunc(runs, isOld); len(e.silent[id]) == 0 {
			delete(e.silent, id)
		}
	}
	maps.DeleteFunc(e.heard, func(_ call.ReplicaID, at time.Time) bool { return at.Before(old) })
	maps.DeleteFunc(e.ended, func(_ call.ReplicaID, at time.Time) bool { return now.Sub(at) > endedTime })
}
