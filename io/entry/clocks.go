package entry

import (
	"slices"
	"sync"
	"time"

	"gentianwell/core/call"
)

const (
	// clockSamples is the number of messages of a VM by which its clock is judged.
	clockSamples = 8
	// clockStep is a change by which a clock has been set, as no message is under way for so
	// long.
	clockStep = 6 * time.Second
	// clockTolerance is the difference up to which clocks are taken to agree: messages are under
	// way for some milliseconds.
	clockTolerance = 50 * time.Millisecond
	// maxClocks limits the VMs whose clocks are known.
	maxClocks = 4096
)

// clocks knows how far the clocks of the other VMs are ahead of this VM's. Messages of gossip have
// the time of the sender's clock; the one that was under way for the shortest time tells best,
// which is the one that makes the clock look furthest ahead. Its zero value is ready to use.
type clocks struct {
	mu sync.Mutex
	// samples holds the latest differences by VM, the newest last.
	samples map[call.VMID][]time.Duration
}

// heard records the time that a VM's clock showed when it sent a message.
func (c *clocks) heard(now time.Time, vm call.VMID, clock time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.samples == nil {
		c.samples = map[call.VMID][]time.Duration{}
	}
	samples, known := c.samples[vm]
	if !known && len(c.samples) >= maxClocks {
		return
	}
	sample := clock.Sub(now)
	if known && (greatest(samples)-sample).Abs() > clockStep {
		samples = nil
	}
	samples = append(samples, sample)
	c.samples[vm] = samples[max(0, len(samples)-clockSamples):]
}

// ahead returns how far a VM's clock is ahead of this VM's; zero if they agree or that is not
// known.
func (c *clocks) ahead(vm call.VMID) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if ahead := greatest(c.samples[vm]); ahead.Abs() > clockTolerance {
		return ahead
	}
	return 0
}

// correction returns what has to be added to this VM's clock to get the median of all known clocks,
// this one included; zero if that differs from this one by no more than clockTolerance.
func (c *clocks) correction() time.Duration {
	c.mu.Lock()
	all := []time.Duration{0}
	for _, samples := range c.samples {
		all = append(all, greatest(samples))
	}
	c.mu.Unlock()
	slices.Sort(all)
	median := all[len(all)/2]
	if other := all[(len(all)-1)/2]; other.Abs() < median.Abs() {
		median = other
	}
	if median.Abs() <= clockTolerance {
		return 0
	}
	return median
}

func greatest(samples []time.Duration) time.Duration {
	if len(samples) == 0 {
		return 0
	}
	most := samples[0]
	for _, sample := range samples[1:] {
		most = max(most, sample)
	}
	return most
}
