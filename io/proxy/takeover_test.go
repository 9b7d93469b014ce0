package proxy

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/table"
)

// newSilentRequest returns a request in progress at replica r0 of a number of replicas, on
// a VM with a single retry in its budget.
func newSilentRequest(t *testing.T, replicas, slots int, rc route.Config) *proxyRequest {
	t.Helper()
	rc.Self, rc.Zone, rc.Rand = "vm-1", "sala", rand.New(rand.NewPCG(1, 1))
	router, err := route.New(rc)
	assert.NilError(t, err)
	var list route.Replicas
	for i := range replicas {
		list = append(list, route.Replica{
			ID: call.ReplicaID(fmt.Sprintf("r%d", i)), Zone: "sala", Slots: slots, Models: []call.Model{"m"},
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		})
	}
	router.SetReplicas(time.Now(), list)
	policy, err := retry.New(retry.Config{Rand: rand.New(rand.NewPCG(1, 2)), Burst: 1, MinPerSecond: 1e-9})
	assert.NilError(t, err)
	log, _ := logtest.NewNullLogger()
	p := &proxyRequest{
		s: &Server{c: Config{
			Router: router, Retry: policy, Now: time.Now, Log: log,
			MayRun: func(poison.Fingerprint) bool { return true },
		}},
		route:    &table.Route{Kind: table.KindIdempotent, Attempts: 2},
		call:     call.Call{ID: "1", Model: "m", Idempotent: true},
		deadline: time.Now().Add(time.Minute),
	}
	router.Started(time.Now(), "r0", p.cost())
	return p
}

// available reports whether another request of the VM finds room at r1 and a retry in the
// budget, which it spends.
func (p *proxyRequest) available() (room, budget bool) {
	_, err := p.s.c.Router.Pick(time.Now(), p.call, []call.ReplicaID{"r0"})
	return err == nil, p.s.c.Retry.Decide(time.Now(), p.newTakeover("r0").attempt).Action == retry.ActionRetry
}

// A takeover that is not used returns its place and its retry, once.
func TestUnusedTakeoverIsReturned(t *testing.T) {
	p := newSilentRequest(t, 2, 1, route.Config{})
	taken := p.newTakeover("r0")
	assert.Assert(t, taken.take())
	room, budget := p.available()
	assert.Assert(t, !room && !budget)
	taken.release()
	taken.release()
	room, budget = p.available()
	assert.Assert(t, room && budget)
	_, budget = p.available()
	assert.Assert(t, !budget)
}

// A silent replica is given up for one that refused the request before, but neither for one
// that is ejected nor for a request that crashes replicas; then nothing is taken.
func TestTakeoverNeedsUsableReplica(t *testing.T) {
	for name, c := range map[string]struct {
		want  bool
		setUp func(*proxyRequest)
	}{
		"refused before": {true, func(p *proxyRequest) { p.tried = []call.ReplicaID{"r1"} }},
		"silent before":  {false, func(p *proxyRequest) { p.tried, p.silent = []call.ReplicaID{"r1"}, []call.ReplicaID{"r1"} }},
		"ejected": {false, func(p *proxyRequest) {
			for range 3 {
				p.s.c.Router.Silent(time.Now(), "r1")
			}
		}},
		"crashes replicas": {false, func(p *proxyRequest) { p.s.c.MayRun = func(poison.Fingerprint) bool { return false } }},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSilentRequest(t, 2, 1, route.Config{})
			c.setUp(p)
			assert.Equal(t, p.newTakeover("r0").take(), c.want)
			room, budget := p.available()
			assert.Equal(t, room, !c.want)
			assert.Equal(t, budget, !c.want)
		})
	}
}

// A VM whose share of a busy long lane is used up by the request itself can still move it:
// the place that the request leaves does not count against the one that it takes.
func TestTakeoverLeavesItsOwnPlace(t *testing.T) {
	for name, atSilentReplica := range map[string]bool{"its place is free": false, "its place is counted": true} {
		t.Run(name, func(t *testing.T) {
			p := newSilentRequest(t, 4, 10, route.Config{InitialLongShare: 0.5})
			p.call.PromptTokens, p.call.SharedTokens = 5000, 2000
			now := time.Now()
			p.s.c.Router.SetVMs(40)
			for i := range 4 {
				p.s.c.Router.Report(now, call.ReplicaID(fmt.Sprintf("r%d", i)), route.Load{Running: 9, Slots: 10, MeasuredAt: now})
			}
			p.s.c.Router.Finished(now, "r0", 1, route.Result{Status: route.StatusCanceled})
			d, err := p.s.c.Router.Pick(now, p.call, nil)
			assert.NilError(t, err)
			if atSilentReplica {
				p.s.c.Router.Started(now, d.Replica.ID, p.cost())
			}
			assert.Assert(t, p.newTakeover(d.Replica.ID).take())
		})
	}
}
