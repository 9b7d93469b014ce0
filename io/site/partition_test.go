package site

import (
	"encoding/json"
	"fmt"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/front"
)

// zones returns the zone of each peer and backend address of the site. The platform is in
// no zone.
func (s *Site) zones() map[netip.AddrPort]call.Zone {
	out := map[netip.AddrPort]call.Zone{}
	for i, e := range s.Entries {
		out[e.PeerAddress] = zone(i)
	}
	// The first server is the platform; engines and services follow in order.
	for i := range s.c.Engines {
		out[netip.MustParseAddrPort(s.Servers[1+i].Listener.Addr().String())] = zone(i)
	}
	for i := range s.c.Services {
		out[netip.MustParseAddrPort(s.Servers[1+s.c.Engines+i].Listener.Addr().String())] = zone(i)
	}
	return out
}

// isolateZones cuts every zone off from the others and from the platform.
func (s *Site) isolateZones(p *Partition) {
	zones := s.zones()
	own := map[call.VMID]call.Zone{}
	for i, e := range s.Entries {
		own[e.ID] = zone(i)
	}
	p.Cut(func(from call.VMID, to netip.AddrPort) bool { return zones[to] != own[from] })
}

// waitVersion waits until all entry VMs apply this settings version or a later one.
func (s *Site) waitVersion(t *testing.T, version int64) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, e := range s.Entries {
			if got := e.Node.Status().SettingsVersion; got < version {
				return poll.Continue("%s applies %d, want %d", e.ID, got, version)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(20*time.Millisecond))
}

// setWeight changes the weight of the team in the settings.
func (s *Site) setWeight(t *testing.T, weight int) {
	s.ChangeSettings(t, tree.Edits{{Path: "teams.judges.weight", Value: json.RawMessage(fmt.Sprint(weight))}})
}

// Zones that are cut off from each other and from the platform continue to answer from
// their own engines and refuse payments, since they cannot hold a claim. After the
// partition they recover without intervention, and all of them apply a settings change made
// in the meantime. The test does this twice.
func TestZonesPartitioned(t *testing.T) {
	p := NewPartition()
	s := New(t, Config{Entries: 3, Engines: 3, Services: 3, Dial: p.Dial})
	for round := range 2 {
		s.isolateZones(p)
		for vm := range 3 {
			resp := s.Post(t, vm, "/v1/chat/completions", chatBody("alone", true), nil)
			assert.Equal(t, resp.StatusCode, http.StatusOK, readBody(t, resp))
			resp = s.Post(t, vm, "/ledger/payments", `{"amount":1}`, map[string]string{
				front.HeaderIdempotencyKey: fmt.Sprint("cut-", round, vm), front.HeaderAttempt: "1",
			})
			got := readBody(t, resp)
			assert.Equal(t, resp.StatusCode, http.StatusServiceUnavailable, got)
			assert.Equal(t, resp.Header.Get(front.HeaderOutcome), "notRun")
			assert.Equal(t, s.bookings(t, fmt.Sprint("cut-", round, vm)), 0)
		}
		s.setWeight(t, 2+round)
		p.Heal()
		s.waitVersion(t, int64(2+round))
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			resp, got := s.pay(t, 0, fmt.Sprint("healed-", round), `{"amount":1}`)
			if resp.StatusCode != http.StatusCreated {
				return poll.Continue("%s", got)
			}
			return poll.Success()
		}, poll.WithTimeout(20*time.Second), poll.WithDelay(100*time.Millisecond))
		assert.Equal(t, s.bookings(t, fmt.Sprint("healed-", round)), 1)
	}
}

// A VM that is cut off from nothing but the platform gets a settings change from its peers.
func TestChangeReachesVMCutOffFromPlatform(t *testing.T) {
	p := NewPartition()
	s := New(t, Config{Entries: 3, Engines: 1, Dial: p.Dial})
	p.Cut(func(from call.VMID, to netip.AddrPort) bool { return from == "e2" && to == s.platform })
	s.setWeight(t, 2)
	s.waitVersion(t, 2)
	p.Heal()
}

// An entry VM that restarts during an outage of the platform gets the settings from its
// peers. The other VMs keep theirs, and the restarted one serves after the outage.
func TestVMRestartedDuringOutage(t *testing.T) {
	s := New(t, Config{Entries: 3, Engines: 3})
	s.setWeight(t, 2)
	s.waitVersion(t, 2)
	s.Platform.SetFaults(fakekv.Faults{Outage: true})
	s.Kill(t, 0)
	s.Start(t, 0)
	for vm := 1; vm < 3; vm++ {
		resp := s.Post(t, vm, "/v1/chat/completions", chatBody("on", true), nil)
		assert.Equal(t, resp.StatusCode, http.StatusOK, readBody(t, resp))
		assert.Equal(t, s.Entries[vm].Node.Status().SettingsVersion, int64(2))
	}
	// The restarted VM does not know the others, since only the platform has the list of
	// VMs. They know it and send it their settings.
	s.waitVersion(t, 2)
	s.Platform.SetFaults(fakekv.Faults{})
	s.WaitReady(t)
	resp := s.Post(t, 0, "/v1/chat/completions", chatBody("back", true), nil)
	assert.Equal(t, resp.StatusCode, http.StatusOK, readBody(t, resp))
}
