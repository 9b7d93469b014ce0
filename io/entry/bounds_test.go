package entry

import (
	"fmt"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/fleet"
	"gentianwell/io/kvs"
	"gentianwell/io/proxy"
)

// testEntry returns a VM that does not run. Its replicas are the entries below r/.
func testEntry(t *testing.T, c Config, now func() time.Time) *Entry {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	address := netip.MustParseAddrPort("10.0.0.1:80")
	headers := proxy.HeaderCodec{
		ReadRequest:   func(http.Header) (proxy.RequestInfo, error) { return proxy.RequestInfo{}, nil },
		WriteRequest:  func(http.Header, proxy.AttemptInfo) {},
		ReadResponse:  func(int, http.Header, time.Time) proxy.ResponseInfo { return proxy.ResponseInfo{} },
		CleanResponse: func(http.Header) {},
	}
	c.VM, c.CallerAddress, c.ReadinessAddress, c.StoreAddress = "vm-1", address, address, address
	e, err := New(Options{
		Config: c,
		Source: Source{ReplicaPrefix: "r/", ParseReplica: func(e kvs.Entry) fleet.Record {
			id := call.ReplicaID(strings.TrimPrefix(e.Key, "r/"))
			return fleet.Record{ID: id, Revision: int64(e.ModRevision), Entry: &fleet.Entry{
				ID: id, Service: "s", Address: address, Zone: "a", State: fleet.StateReady, Slots: 1,
			}}
		}},
		Log: log, Now: now, Seed: 7, Headers: headers,
	})
	assert.NilError(t, err)
	return e
}

// Each of these times has to leave room within the platform's bound for it, which other
// deployments may set shorter.
func TestTimesKeepWithinBounds(t *testing.T) {
	for _, test := range []struct {
		apply, drain, stable           time.Duration
		probe, grace, massRemoval, out time.Duration
	}{
		{0, 0, 0, 700 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond},
		{time.Minute, time.Minute, time.Minute, 700 * time.Millisecond, 250 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond},
		{time.Second, 5 * time.Second, 0, 350 * time.Millisecond, 125 * time.Millisecond, 1500 * time.Millisecond, 2300 * time.Millisecond},
		{5 * time.Second, 800 * time.Millisecond, time.Second, 280 * time.Millisecond, 100 * time.Millisecond, 600 * time.Millisecond, 1600 * time.Millisecond},
	} {
		c := Config{ApplyTime: test.apply, DrainTime: test.drain, StableTime: test.stable}
		c.Defaults()
		assert.Equal(t, c.probeInterval(), test.probe)
		assert.Equal(t, c.probeGrace(), test.grace)
		assert.Equal(t, c.fleetConfig().MassRemovalGracePeriod, test.massRemoval)
		assert.Equal(t, c.fleetConfig().OutageGracePeriod, test.out)
	}
}

// Replicas that are removed together were used for 1.5 s, also where a removed replica
// serves for less than that.
func TestMassRemovalEndsWithinDrainTime(t *testing.T) {
	now := time.Unix(1000, 0)
	e := testEntry(t, Config{DrainTime: 800 * time.Millisecond}, func() time.Time { return now })
	var entries kvs.Entries
	for i := range 4 {
		entries = append(entries, kvs.Entry{Key: fmt.Sprint("r/", i), Value: []byte("x"), ModRevision: 5})
	}
	e.replicas.applySnapshot(kvs.Snapshot{Revision: 5, Entries: entries})
	assert.Equal(t, e.replicas.usable(), 4)
	e.replicas.applySnapshot(kvs.Snapshot{Revision: 6, Entries: entries[:1]})
	for at, want := range []int{4, 4, 4, 1} {
		assert.Equal(t, e.replicas.usable(), want, "%d ms after the removal", at*200)
		now = now.Add(200 * time.Millisecond)
	}
}
