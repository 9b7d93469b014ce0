package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// Two unreachable replicas of another zone eject the whole zone until one of its replicas
// answers or zoneEjectTime ends. The VM's own zone is never ejected.
func TestZoneThatIsCutOff(t *testing.T) {
	now := time.Unix(1000, 0)
	r := newHomeRouter(t, "vm-1", 18)
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
	failToConnect := func(id call.ReplicaID) {
		r.Started(now, id, 1)
		r.Finished(now, id, 1, Result{Status: StatusUnreachable})
	}
	failToConnect("r01")
	assert.Assert(t, zones(now)["b"])
	failToConnect("r04")
	assert.Assert(t, !zones(now)["b"])
	failToConnect("r00")
	failToConnect("r03")
	assert.Assert(t, zones(now)["a"])
	r.Started(now, "r07", 1)
	r.Finished(now, "r07", 1, Result{Status: StatusOK})
	assert.Assert(t, zones(now)["b"])
	failToConnect("r02")
	failToConnect("r05")
	assert.Assert(t, !zones(now)["c"])
	assert.Assert(t, zones(now.Add(zoneEjectTime))["c"])
}
