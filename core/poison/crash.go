package poison

import (
	"cmp"
	"slices"
	"time"

	"gentianwell/core/call"
)

// maxCrashes bounds the crashes in a record; the latest are kept.
const maxCrashes = 8

// Crash is one crash of a replica that was running a request.
type Crash struct {
	Replica call.ReplicaID `json:"replica"`
	At      time.Time      `json:"at"`
	// Began is when the replica began to answer or, if that is not known, when it was sent the
	// request; only Config.Successive needs it.
	Began time.Time `json:"began,omitzero"`
	// Alone is true if, as far as the VM knew, no other request was in flight on
	// the replica.
	Alone bool `json:"alone,omitempty"`
}

// Crashes is a list of crashes, ordered by time.
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

// merge returns the union, ordered by time and cut to the latest maxCrashes.
func (c Crashes) merge(other Crashes) Crashes {
	all := slices.Concat(c, other)
	slices.SortFunc(all, compareCrashes)
	all = slices.CompactFunc(all, func(a, b Crash) bool { return compareCrashes(a, b) == 0 })
	return all[max(0, len(all)-maxCrashes):]
}

// add returns the crashes with another one. Of runs of a replica that were lost at the same time,
// within a window, only the one that began last is kept: it may have been the cause.
func (c Crashes) add(crash Crash, window time.Duration) Crashes {
	together := func(other Crash) bool {
		return other.Replica == crash.Replica && other.At.Sub(crash.At).Abs() <= window && other.Began.Before(crash.At) && crash.Began.Before(other.At)
	}
	if slices.ContainsFunc(c, func(other Crash) bool { return together(other) && !other.Began.Before(crash.Began) }) {
		return c
	}
	return slices.DeleteFunc(slices.Clone(c), together).merge(Crashes{crash})
}

// latest returns the time of the last crash, zero if there is none.
func (c Crashes) latest() time.Time {
	if len(c) == 0 {
		return time.Time{}
	}
	return c[len(c)-1].At
}

// since returns the crashes after t.
func (c Crashes) since(t time.Time) Crashes {
	i := slices.IndexFunc(c, func(crash Crash) bool { return crash.At.After(t) })
	if i < 0 {
		return nil
	}
	return c[i:]
}

// shifted returns the crashes with their times moved.
func (c Crashes) shifted(d time.Duration) Crashes {
	if d == 0 {
		return c
	}
	out := slices.Clone(c)
	for i := range out {
		out[i].At = out[i].At.Add(d)
		if !out[i].Began.IsZero() {
			out[i].Began = out[i].Began.Add(d)
		}
	}
	return out
}

// distinct counts the crashes; those of one replica within a window count as one.
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

// successive counts the crashes after a time that followed each other: the run of each
// counted one began after the crash counted before it. Replicas that crash together thus
// count once, and so do crashes of one replica within a window.
func (c Crashes) successive(after time.Time, window time.Duration) int {
	n := 0
	var last Crash
	for _, crash := range c.since(after) {
		if n > 0 && (!crash.Began.After(last.At) || crash.Replica == last.Replica && crash.At.Sub(last.At) <= window) {
			continue
		}
		n++
		last = crash
	}
	return n
}

// without returns the crashes that are none of others: of the same replica, within a window.
func (c Crashes) without(others Crashes, window time.Duration) Crashes {
	return slices.DeleteFunc(slices.Clone(c), func(crash Crash) bool { return others.cover(Crashes{crash}, window) })
}

// cover reports whether each crash of others is one of these: of the same replica, within a
// window.
func (c Crashes) cover(others Crashes, window time.Duration) bool {
	for _, other := range others {
		if !slices.ContainsFunc(c, func(crash Crash) bool {
			return crash.Replica == other.Replica && crash.At.Sub(other.At).Abs() <= window
		}) {
			return false
		}
	}
	return true
}
