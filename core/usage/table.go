package usage

import (
	"slices"

	"gentianwell/core/call"
)

const (
	// maxSources limits the processes whose counts are kept for one window.
	maxSources = 1024
	// maxAhead is how many windows a message may be ahead of the receiver's clock.
	maxAhead = 1
)

// Source is the process that has counted. A VM that restarts is another source, so that what it
// counted before stays counted.
type Source struct {
	VM          call.VMID
	Incarnation uint64
}

// Table holds the counts of all VMs, as running totals: of two counts of the same source,
// window and team the greater one holds. It is not safe for concurrent use.
type Table struct {
	index   map[call.Team]int
	names   []call.Team
	windows map[int64]map[Source][]uint32
	// latest is the latest window that a VM has sent: its counts of the windows before are final.
	latest map[call.VMID]int64
	done   int64
}

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{index: map[call.Team]int{}, windows: map[int64]map[Source][]uint32{}, latest: map[call.VMID]int64{}}
}

// Merge adds the counts of a source. current is the window by the receiver's clock: a message may
// have neither windows far ahead of it nor ones older than those kept.
func (t *Table) Merge(current int64, from Source, windows []Window) {
	for _, w := range windows {
		if w.Window > current+maxAhead {
			continue
		}
		t.latest[from.VM] = max(t.latest[from.VM], w.Window)
		if w.Window <= t.done || w.Window <= current-keptWindows {
			continue
		}
		t.mergeWindow(from, w)
	}
	for window := range t.windows {
		if window <= current-keptWindows {
			delete(t.windows, window)
		}
	}
	for vm, latest := range t.latest {
		if latest <= current-keptWindows {
			delete(t.latest, vm)
		}
	}
}

func (t *Table) mergeWindow(from Source, w Window) {
	sources := t.windows[w.Window]
	if sources == nil {
		sources = map[Source][]uint32{}
		t.windows[w.Window] = sources
	}
	kept, ok := sources[from]
	if !ok && len(sources) >= maxSources {
		return
	}
	for team, n := range w.Requests {
		i, ok := t.index[team]
		if !ok {
			if len(t.names) >= maxTeams {
				continue
			}
			i = len(t.names)
			t.index[team] = i
			t.names = append(t.names, team)
		}
		if i >= len(kept) {
			kept = append(kept, make([]uint32, len(t.names)-len(kept))...)
		}
		kept[i] = max(kept[i], uint32(min(max(n, 0), 1<<32-1)))
	}
	sources[from] = kept
}

// Report returns the counts of a window.
func (t *Table) Report(window int64) Report {
	sums := make([]int64, len(t.names))
	for _, requests := range t.windows[window] {
		for i, n := range requests {
			sums[i] += int64(n)
		}
	}
	out := Report{Window: window, Requests: map[call.Team]int64{}}
	for i, n := range sums {
		if n > 0 {
			out.Requests[t.names[i]] = n
		}
	}
	return out
}

// IsFinal reports whether all VMs have sent all their counts of a window.
func (t *Table) IsFinal(window int64, vms []call.VMID) bool {
	return !slices.ContainsFunc(vms, func(vm call.VMID) bool { return t.latest[vm] <= window })
}

// Oldest returns the oldest window with counts; false if there are none.
func (t *Table) Oldest() (int64, bool) {
	oldest, ok := int64(0), false
	for window := range t.windows {
		if !ok || window < oldest {
			oldest, ok = window, true
		}
	}
	return oldest, ok
}

// Of returns the counts of a VM by source, for those windows that are not done.
func (t *Table) Of(vm call.VMID) map[Source][]Window {
	out := map[Source][]Window{}
	for window, sources := range t.windows {
		for source, requests := range sources {
			if source.VM != vm {
				continue
			}
			w := Window{Window: window, Requests: map[call.Team]int64{}}
			for i, n := range requests {
				if n > 0 {
					w.Requests[t.names[i]] = int64(n)
				}
			}
			out[source] = append(out[source], w)
		}
	}
	return out
}

// Silent returns the VMs that have not sent a window yet.
func (t *Table) Silent(window int64) []call.VMID {
	var out []call.VMID
	for vm, latest := range t.latest {
		if latest < window {
			out = append(out, vm)
		}
	}
	return out
}

// Done drops the counts of the windows up to one.
func (t *Table) Done(until int64) {
	t.done = max(t.done, until)
	for window := range t.windows {
		if window <= until {
			delete(t.windows, window)
		}
	}
}
