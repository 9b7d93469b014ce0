package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// Two replicas of another zone that cannot be reached take the zone out at once; an
// answer, or the end of the time, brings it back. The own zone is never left out.
func TestZoneThatIsCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	r := homeFleet(t, "vm-1", 18)
	question := call.Call{Model: "m", Class: "question", PromptTokens: 900}
	zones := func(now time.Time) map[call.Zone]bool {
		out := map[call.Zone]bool{}
		for prefix := range uint64(200) {
			d, err := r.Pick(now, longCall(prefix), nil)
			assert.NilError(t, err)
			out[d.Replica.Zone] = true
			d, err = r.Pick(now, question, nil)
			assert.NilError(t, err)
			out[d.Replica.Zone] = true
		}
		return out
	}
	assert.Equal(t, len(zones(now)), 3)
	lose := func(id call.ReplicaID) {
		r.Started(now, id, 1)
		r.Finished(now, id, 1, Result{Status: StatusUnreachable})
	}
	lose("r01")
	assert.Assert(t, zones(now)["b"])
	lose("r04")
	assert.Assert(t, !zones(now)["b"])
	lose("r00")
	lose("r03")
	assert.Assert(t, zones(now)["a"])
	r.Started(now, "r07", 1)
	r.Finished(now, "r07", 1, Result{Status: StatusOK})
	assert.Assert(t, zones(now)["b"])
	lose("r02")
	lose("r05")
	assert.Assert(t, !zones(now)["c"])
	assert.Assert(t, zones(now.Add(zoneEjectTime))["c"])
}
