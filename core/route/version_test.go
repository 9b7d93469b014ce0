package route

import (
	"testing"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// A call of one version runs on replicas of that version only, whatever lanes, homes and subsets
// say, and learns at once that there are none.
func TestPickOfOneVersion(t *testing.T) {
	replicas := newReplicas(20, 4)
	for i := range replicas {
		replicas[i].Version = "v1"
	}
	replicas[7].Version, replicas[13].Version = "v2", "v2"
	for name, c := range map[string]call.Call{
		"short":  {Class: "short", PromptTokens: 100},
		"long":   {Class: "long", PromptTokens: 8000, Prefixes: []uint64{1}, SharedTokens: 4000},
		"shared": {Class: "short", PromptTokens: 900, Prefixes: []uint64{2}, SharedTokens: 800},
	} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, Config{SubsetMin: 3, SubsetCover: 1, HomeTokens: 500})
			r.SetVMs(50)
			r.SetReplicas(t0, replicas)
			for i := range 200 {
				other := request
				other.Class, other.PromptTokens = []call.Class{"short", "long"}[i%2], []int{100, 8000}[i%2]
				r.Arrived(t0, other)
			}
			one := request
			one.Class, one.PromptTokens, one.Prefixes, one.SharedTokens, one.Version = c.Class, c.PromptTokens, c.Prefixes, c.SharedTokens, "v2"
			for range 4 {
				d, err := r.Pick(t0, one, nil)
				assert.NilError(t, err)
				assert.Equal(t, d.Replica.Version, call.Version("v2"))
				r.Started(t0, d.Replica.ID, 1)
			}
			d, err := r.PickOther(t0, one, []call.ReplicaID{replicas[7].ID}, replicas[7].ID)
			assert.NilError(t, err)
			assert.Equal(t, d.Replica.ID, replicas[13].ID)
			_, err = r.PickReplica(t0, one, replicas[0].ID)
			assert.Assert(t, errors.Is(err, ErrNoReplica))
			one.Version = "v3"
			_, err = r.Pick(t0, one, nil)
			assert.Assert(t, errors.Is(err, ErrNoVersion))
		})
	}
}
