package site

import (
	"encoding/json"
	"net/http"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/core/place"
	"gentianwell/core/tree"
	"gentianwell/io/fakes"
)

// orders returns the response of an engine to GET /orders.
func (s *Site) orders(t *testing.T, engine int) fakes.Orders {
	t.Helper()
	resp, err := http.Get(s.Servers[1+engine].URL + "/orders")
	assert.NilError(t, err)
	defer resp.Body.Close()
	var out fakes.Orders
	assert.NilError(t, json.NewDecoder(resp.Body).Decode(&out))
	return out
}

// A model that the settings require is loaded on the engine that the platform lists for
// it. All orders come from one VM, with the fencing token of its lease.
func TestPlacement(t *testing.T) {
	s := New(t, Config{
		Entries: 3, Engines: 2,
		Engine:    func(c *fakes.EngineConfig) { c.CheckFencing = true },
		Edits:     tree.Edits{{Path: "models.heraldry", Value: json.RawMessage(`{"minReplicas":1,"urgent":true}`)}},
		Placement: place.Config{ReadRate: 1e6, ReadBurst: 1e6},
	})
	s.PutVM(t, member.VM{
		ID: "m1", Zone: zone(1), Role: member.RoleEngine, Address: netip.MustParseAddrPort(s.Servers[2].Listener.Addr().String()),
		Models: []call.Model{"drafts", "heraldry"}, State: member.StateLive, ChecksOrders: true,
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, o := range s.orders(t, 1).Orders {
			if o.Model == "heraldry" && o.Action == fakes.OrderLoad && o.Fencing > 0 {
				return poll.Success()
			}
		}
		return poll.Continue("not loaded yet")
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(50*time.Millisecond))
	fencingTokens := map[int64]bool{}
	for engine := range 2 {
		for _, o := range s.orders(t, engine).Orders {
			fencingTokens[o.Fencing] = true
			assert.Equal(t, o.Action, fakes.OrderLoad)
		}
	}
	assert.Equal(t, len(fencingTokens), 1, "orders with more than one fencing token")
}
