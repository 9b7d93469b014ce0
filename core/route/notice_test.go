package route

import (
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// A replica that leaves or wants a pause gets no call, also where it is the home of a prefix, and
// neither from calls that go back to it.
func TestLeavingAndPausedReplicasGetNoCalls(t *testing.T) {
	home := request
	home.Prefixes, home.SharedTokens = []uint64{5}, 4000
	for name, c := range map[string]call.Call{"any": request, "home": home} {
		t.Run(name, func(t *testing.T) {
			r := newRouter(t, Config{HomeTokens: 500})
			replicas := newReplicas(3, 8)
			for i := range replicas {
				replicas[i].Started = t0
			}
			r.SetReplicas(t0, replicas)
			var gone []call.ReplicaID
			for range 2 {
				d, err := r.Pick(t0, c, nil)
				assert.NilError(t, err)
				id := d.Replica.ID
				if gone = append(gone, id); len(gone) == 1 {
					assert.Assert(t, r.Leave(id))
					assert.Assert(t, !r.Leave(id), "told before")
					continue
				}
				assert.Assert(t, r.Pause(t0, id, 3*time.Second))
				assert.Assert(t, !r.Pause(t0, id, 4*time.Second), "longer, but not new")
			}
			leaving, paused := r.Unavailable(t0)
			assert.Equal(t, leaving, 1)
			assert.Equal(t, paused, 1)
			for range 20 {
				d, err := r.Pick(t0, c, nil)
				assert.NilError(t, err)
				assert.Assert(t, d.Replica.ID != gone[0] && d.Replica.ID != gone[1])
			}
			_, err := r.PickReplica(t0, c, gone[0])
			assert.Assert(t, errors.Is(err, ErrNoReplica))
			_, err = r.PickReplica(t0, c, gone[1])
			assert.Assert(t, errors.Is(err, ErrBusy))
			_, err = r.PickReplica(at(4*time.Second), c, gone[1])
			assert.NilError(t, err)

			replicas = append(Replicas(nil), replicas...)
			for i := range replicas {
				replicas[i].Started = at(time.Second)
			}
			r.SetReplicas(at(time.Second), replicas)
			leaving, paused = r.Unavailable(at(time.Second))
			assert.Equal(t, leaving+paused, 0, "they have started again")
		})
	}
}

// Calls for which only replicas with a pause are left are refused as by a limit.
func TestOnlyPausedReplicas(t *testing.T) {
	r := newRouter(t, Config{})
	r.SetReplicas(t0, newReplicas(2, 8))
	assert.Assert(t, r.Pause(t0, "r0", 100*time.Hour))
	assert.Assert(t, r.Leave("r1"))
	_, err := r.Pick(t0, request, nil)
	assert.Assert(t, errors.Is(err, ErrLimited))
	_, err = r.Pick(at(MaxPause), request, nil)
	assert.NilError(t, err)
	assert.Assert(t, !r.Leave("r9"))
	assert.Assert(t, !r.Pause(t0, "r9", time.Second))
}
