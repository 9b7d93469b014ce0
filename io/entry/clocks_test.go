package entry

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/poison"
)

// newClockFleet returns VMs whose clocks are ahead by different times.
func newClockFleet(t *testing.T, ahead ...time.Duration) *crashFleet {
	t.Helper()
	f := newCrashFleet(t, len(ahead))
	for i, c := range f.vms {
		c.now = func() time.Time { return f.now.Add(ahead[i]) }
		c.writer.now = c.now
	}
	return f
}

// A crash of many replicas at the same time must not look like crashes that followed each other
// because the clocks of the VMs that saw it differ, and make sound parts be refused.
func TestMassCrashUnderDifferentClocks(t *testing.T) {
	const part = poison.Fingerprint(7)
	f := newClockFleet(t, 0, 3*time.Second, 6*time.Second)
	for i, c := range f.vms {
		f.crashed(c, part, call.ReplicaID(fmt.Sprint("r", i)))
	}
	f.pass(2 * time.Second)
	for _, c := range f.vms {
		assert.Equal(t, len(c.registries.parts.RefusedParts(c.now(), []poison.Fingerprint{part})), 0)
	}
}

// A run that has finished on a VM whose clock is ahead must not clear crashes that come after it.
func TestFinishUnderFastClockClearsNoLaterCrash(t *testing.T) {
	const part = poison.Fingerprint(7)
	f := newClockFleet(t, 0, time.Minute)
	f.vms[1].registries.parts.Finished(f.vms[1].now(), part)
	for i := range 2 * refuseAfterCrashes {
		f.pass(time.Second)
		f.crashed(f.vms[0], part, call.ReplicaID(fmt.Sprint("r", i)))
	}
	f.pass(2 * time.Second)
	assert.Equal(t, len(f.vms[0].registries.parts.RefusedParts(f.vms[0].now(), []poison.Fingerprint{part})), 1)
}
