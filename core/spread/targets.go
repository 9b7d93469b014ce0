package spread

import (
	"slices"

	"gentianwell/core/call"
)

// Neighbours returns the VMs that self exchanges items with: those at distances
// 1, 2, 4 … in both directions on the ring of all VMs. Their number grows with the
// logarithm of the number of VMs, and every VM is reached in as many steps.
func Neighbours(self call.VMID, all []call.VMID) []call.VMID {
	ring := slices.Clone(all)
	ring = append(ring, self)
	slices.Sort(ring)
	ring = slices.Compact(ring)
	at, _ := slices.BinarySearch(ring, self)
	var found []call.VMID
	for step := 1; step < len(ring); step *= 2 {
		found = append(found, ring[(at+step)%len(ring)], ring[(at-step+len(ring))%len(ring)])
	}
	slices.Sort(found)
	return slices.Compact(found)
}

// Targets selects up to Fanout neighbours at random for one round of exchanges.
func (s *Store) Targets(all []call.VMID) []call.VMID {
	found := Neighbours(s.config.Self, all)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.config.Rand.Shuffle(len(found), func(i, j int) { found[i], found[j] = found[j], found[i] })
	return found[:min(s.config.Fanout, len(found))]
}
