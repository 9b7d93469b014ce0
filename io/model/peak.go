package model

import (
	"time"

	"gentianwell/core/call"
)

// peakWindow is the time over which sends are counted for Totals.Peak: about the age of the
// reports by which VMs decide.
const peakWindow = 500 * time.Millisecond

// recordSend counts a send to an engine.
func (s *simulation) recordSend(id call.ReplicaID) {
	now := s.clock.now
	if now.Sub(s.sendsFrom) >= peakWindow {
		s.endPeakWindow()
		s.sends, s.sendsFrom = map[call.ReplicaID]int{}, now
	}
	s.sends[id]++
}

func (s *simulation) endPeakWindow() {
	most, all := 0, 0
	for _, n := range s.sends {
		most, all = max(most, n), all+n
	}
	if all == 0 {
		return
	}
	t := s.totals
	t.PeakWindows++
	t.Peak += (float64(most*len(s.engines))/float64(all) - t.Peak) / float64(t.PeakWindows)
}
