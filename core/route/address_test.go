package route

import (
	"net/netip"
	"slices"
	"testing"

	"gotest.tools/v3/assert"
)

// A replica that is listed at another address is another process: what is known of the one
// before does not count against it, but calls that are still in flight stay counted.
func TestNewAddressResetsReplica(t *testing.T) {
	r := newRouter(t, Config{})
	replicas := newReplicas(5, 1)
	r.SetReplicas(t0, replicas)
	r.Started(t0, "r0", 1)
	assert.Equal(t, runCalls(r, t0, "r0", Result{Status: StatusFailed}, 3), EjectFailing)
	r.SetReplicas(t0, replicas)
	assert.Equal(t, len(r.Ejected(t0)), 1, "listed again at the same address")
	moved := slices.Clone(replicas)
	moved[0].Address = netip.MustParseAddrPort("10.9.9.9:80")
	r.SetReplicas(t0, moved)
	assert.Equal(t, len(r.Ejected(t0)), 0, "listed at another address")
	assert.Equal(t, r.byID["r0"].inFlight, 1)
	assert.Equal(t, runCalls(r, t0, "r0", Result{Status: StatusFailed}, 2), EjectReason(""))
}
