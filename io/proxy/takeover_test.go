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
			Forbids: func(poison.Fingerprint, []poison.Fingerprint) (Reason, func() bool) { return "", nil },
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
		"crashes replicas": {false, func(p *proxyRequest) {
			p.s.c.Forbids = func(poison.Fingerprint, []poison.Fingerprint) (Reason, func() bool) {
				return ReasonCrashedReplicas, nil
			}
		}},
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

// A replica that was given up is tried again once it may have gone on, before one that
// refused the request and after one that has not had it, also while it is ejected. If it
// is silent again, the request does not go back to it a second time.
func TestGivenUpReplicaIsPreferredOnceItMayHaveGoneOn(t *testing.T) {
	for name, c := range map[string]struct {
		replicas int
		// ran is true if the replica may have run the request the second time.
		ran                         bool
		early, due, again, againDue call.ReplicaID
	}{
		"silent again":       {2, true, "r1", "r0", "r1", "r1"},
		"refused then":       {2, false, "r1", "r0", "r1", "r0"},
		"another is untried": {3, true, "r2", "r2", "r2", "r2"},
	} {
		t.Run(name, func(t *testing.T) {
			p := newSilentRequest(t, c.replicas, 4, route.Config{})
			p.tried, p.lastAttempt = []call.ReplicaID{"r0", "r1"}, attemptResult{replica: "r0", mayHaveRun: true}
			p.noteSilence()
			p.silent = []call.ReplicaID{"r0"}
			for range 3 {
				p.s.c.Router.Silent(time.Now(), "r0")
			}
			assert.Equal(t, len(p.s.c.Router.Ejected(time.Now())), 1)
			picked := func(after time.Duration) call.ReplicaID {
				t.Helper()
				now := time.Now().Add(after)
				d, err := p.pick(now)
				assert.NilError(t, err)
				p.s.c.Router.Finished(now, d.Replica.ID, p.cost(), route.Result{Status: route.StatusCanceled})
				return d.Replica.ID
			}
			assert.Equal(t, picked(0), c.early)
			assert.Equal(t, picked(minGapTimeout), c.due)
			p.lastAttempt.mayHaveRun = c.ran
			p.noteSilence()
			assert.Equal(t, picked(0), c.again)
			assert.Equal(t, picked(minGapTimeout), c.againDue)
		})
	}
}

// A stream whose first events are about to be forwarded goes on at no other version: a place taken
// at one before ends the attempt, and none is taken afterwards.
func TestTakeoverKeepsTheVersion(t *testing.T) {
	p := newSilentRequest(t, 3, 1, route.Config{})
	var list route.Replicas
	for i, version := range []call.Version{"v1", "v2", "v1"} {
		list = append(list, route.Replica{
			ID: call.ReplicaID(fmt.Sprintf("r%d", i)), Zone: "sala", Slots: 1, Models: []call.Model{"m"}, Version: version,
			Address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, byte(i + 1)}), 80),
		})
	}
	p.s.c.Router.SetReplicas(time.Now(), list)
	p.tried = []call.ReplicaID{"r2"}
	early := p.newTakeover("r0")
	assert.Assert(t, early.take())
	assert.Equal(t, early.decision.Replica.Version, call.Version("v2"))
	assert.Assert(t, !early.begin("v1"))
	early.release()

	late := p.newTakeover("r0")
	assert.Assert(t, late.begin("v1"))
	assert.Assert(t, late.take())
	assert.Equal(t, late.decision.Replica.ID, call.ReplicaID("r2"))
	assert.Assert(t, late.begin("v1"))
}
