package poison

import (
	"cmp"
	"slices"
	"time"

	"gentianwell/core/call"
)

// maxCrashes bounds the crashes kept in a record: the latest.
const maxCrashes = 8

// Crash is one crash of a replica under a request.
type Crash struct {
	Replica call.ReplicaID `json:"replica"`
	At      time.Time      `json:"at"`
	// Alone is true where nothing else was in flight on it, as far as was known.
	Alone bool `json:"alone,omitempty"`
}

// Crashes is a list of crashes in order of time.
type Crashes []Crash

func compareCrashes(a, b Crash) int {
	return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Replica, b.Replica), compareBool(a.Alone, b.Alone))
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// merge returns the union in order of time, of which the latest are kept.
func (c Crashes) merge(other Crashes) Crashes {
	all := slices.Concat(c, other)
	slices.SortFunc(all, compareCrashes)
	all = slices.CompactFunc(all, func(a, b Crash) bool { return compareCrashes(a, b) == 0 })
	return all[max(0, len(all)-maxCrashes):]
}

// latest returns the time of the last crash.
func (c Crashes) latest() time.Time {
	if len(c) == 0 {
		return time.Time{}
	}
	return c[len(c)-1].At
}

// since returns the crashes after a time.
func (c Crashes) since(t time.Time) Crashes {
	i := slices.IndexFunc(c, func(crash Crash) bool { return crash.At.After(t) })
	if i < 0 {
		return nil
	}
	return c[i:]
}

// distinct counts the crashes, where those of a replica within a window are one.
func (c Crashes) distinct(window time.Duration) int {
	n := 0
	first := map[call.ReplicaID]time.Time{}
	for _, crash := range c {
		at, seen := first[crash.Replica]
		if !seen || crash.At.Sub(at) > window {
			n++
			first[crash.Replica] = crash.At
		}
	}
	return n
}

func (c Crashes) anyAlone() bool {
	return slices.ContainsFunc(c, func(crash Crash) bool { return crash.Alone })
}
