package usage

import (
	"slices"
	"sync"

	"gentianwell/core/call"
)

const (
	// keptWindows is the number of windows whose counts are kept at most: a minute of windows
	// of 5 s, which is as long as a fixed window is kept in the store.
	keptWindows = 12
	// maxTeams limits the teams that are counted. It is several times the number of teams of
	// the largest configuration.
	maxTeams = 1 << 16
)

// Counter counts the requests of one VM by window and team. It is safe for concurrent use.
type Counter struct {
	mu sync.Mutex
	// index holds the position of each team in the counts, names is its inverse.
	index map[call.Team]int
	names []call.Team
	// windows holds each window at its number modulo keptWindows.
	windows [keptWindows]counts
	// done is the last window whose counts are not needed any more.
	done    int64
	dropped int64
}

// counts holds the counts of one window, by the position of the team.
type counts struct {
	window   int64
	requests []uint32
}

// Window holds the counts of a window that are not zero.
type Window struct {
	Window   int64
	Requests map[call.Team]int64
}

// NewCounter returns a counter without counts.
func NewCounter() *Counter { return &Counter{index: map[call.Team]int{}} }

// Add counts a request of a team in a window. A request in a window that is done, or older than
// those kept, or of a team beyond the limit is counted as dropped.
func (c *Counter) Add(window int64, team call.Team) {
	c.mu.Lock()
	defer c.mu.Unlock()
	i, ok := c.index[team]
	if !ok {
		if i, ok = c.addTeam(team); !ok {
			c.dropped++
			return
		}
	}
	w := &c.windows[uint64(window)%keptWindows]
	if window <= c.done || window < w.window {
		c.dropped++
		return
	}
	if window > w.window {
		clear(w.requests)
		w.window = window
	}
	if i >= len(w.requests) {
		w.requests = append(w.requests, make([]uint32, len(c.names)-len(w.requests))...)
	}
	w.requests[i]++
}

func (c *Counter) addTeam(team call.Team) (int, bool) {
	if len(c.names) >= maxTeams {
		return 0, false
	}
	c.index[team] = len(c.names)
	c.names = append(c.names, team)
	return len(c.names) - 1, true
}

// Windows returns the counts of the windows that are not done, the oldest first.
func (c *Counter) Windows() []Window {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []Window
	for _, w := range c.windows {
		if w.window <= c.done {
			continue
		}
		requests := map[call.Team]int64{}
		for i, n := range w.requests {
			if n > 0 {
				requests[c.names[i]] = int64(n)
			}
		}
		if len(requests) > 0 {
			out = append(out, Window{Window: w.window, Requests: requests})
		}
	}
	slices.SortFunc(out, func(a, b Window) int { return int(a.Window - b.Window) })
	return out
}

// Done drops the counts of the windows up to one.
func (c *Counter) Done(until int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.done = max(c.done, until)
}

// Dropped returns the number of requests that were not counted.
func (c *Counter) Dropped() int64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.dropped
}
