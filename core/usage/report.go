package usage

import "gentianwell/core/call"

// Report holds the counts of one window.
type Report struct {
	// Window is the number of the window since the start of 1970.
	Window int64
	// Requests holds the number of requests that began to run, by team.
	Requests map[call.Team]int64
}
