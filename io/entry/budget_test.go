package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// The VMs of a fleet must not share the retry budget by the few of them that each knows:
// after a start, or behind a partition, each would take too large a share (issue 17).
func TestFleetSize(t *testing.T) {
	type step struct {
		at    time.Duration
		known int
		want  int
	}
	for name, test := range map[string]struct {
		noSeeds bool
		steps   []step
	}{
		"start":              {steps: []step{{0, 1, 0}, {time.Second, 8, 0}, {3 * time.Second, 40, 0}, {4 * time.Second, 62, 62}}},
		"isolated start":     {steps: []step{{0, 1, 0}, {time.Minute, 1, 0}, {2 * time.Minute, 3, assumedVMs}}},
		"partition":          {steps: []step{{0, 1, 0}, {time.Minute, 62, 62}, {2 * time.Minute, 1, 62}, {time.Hour, 1, 62}}},
		"fewer for good":     {steps: []step{{0, 62, 0}, {time.Minute, 62, 62}, {2 * time.Minute, 9, 62}, {62 * time.Minute, 9, 9}}},
		"more":               {steps: []step{{0, 9, 0}, {time.Minute, 9, 9}, {2 * time.Minute, 62, 62}}},
		"no other seeds":     {noSeeds: true, steps: []step{{0, 1, assumedVMs}, {time.Minute, 1, assumedVMs}, {time.Hour, 9, 9}}},
		"small fleet, known": {steps: []step{{0, 1, 0}, {time.Minute, 3, assumedVMs}}},
	} {
		t.Run(name, func(t *testing.T) {
			var f fleetSize
			start := time.Unix(1000, 0)
			for _, s := range test.steps {
				assert.Equal(t, f.update(start.Add(s.at), s.known, !test.noSeeds), s.want, "after %s", s.at)
			}
		})
	}
}
