package member_test

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/member"
	"gentianwell/core/spread"
)

// The daemon's intervals.
const (
	round          = 500 * time.Millisecond
	statementEvery = 300 * time.Millisecond
	itemOverhead   = 24
)

// gossip is a fleet of entry VMs that spread their statements.
type gossip struct {
	now    time.Time
	ids    []call.VMID
	stores map[call.VMID]*spread.Store
	own    map[call.VMID]*member.Self
	views  map[call.VMID]*member.View
	bytes  int
}

func newGossip(t *testing.T, n int) *gossip {
	g := &gossip{
		now: time.Unix(1000, 0), stores: map[call.VMID]*spread.Store{},
		own: map[call.VMID]*member.Self{}, views: map[call.VMID]*member.View{},
	}
	for i := range n {
		id := call.VMID(fmt.Sprintf("entry-%04d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		var err error
		g.own[id], err = member.NewSelf(g.now, member.VM{
			ID: id, Zone: call.Zone(fmt.Sprint(i % 7)), Role: member.RoleEntry, Address: address, PeerAddress: address,
		})
		assert.NilError(t, err)
		g.views[id], err = member.New(member.Config{})
		assert.NilError(t, err)
		g.stores[id] = spread.New(spread.Config{Self: id, Rand: rand.New(rand.NewPCG(gwtest.Seed(), uint64(i)))})
		g.ids = append(g.ids, id)
	}
	return g
}

func (g *gossip) state(t *testing.T, s member.Statement) {
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	g.stores[s.VM.ID].Put(g.now, spread.Item{
		ID:      spread.ID{Kind: "member", Key: string(s.VM.ID)},
		Version: s.Version(), Value: raw, Expires: g.now.Add(5 * time.Minute),
	})
}

// message is what one VM hands to another in a round.
type message struct {
	to    call.VMID
	items spread.Items
}

func (g *gossip) message(from, to call.VMID) message {
	m := message{to: to, items: g.stores[from].Batch(g.now, len(g.ids))}
	for _, item := range m.items {
		g.bytes += len(item.Kind) + len(item.Key) + len(item.Value) + itemOverhead
	}
	return m
}

func (g *gossip) deliver(t *testing.T, m message) {
	for _, item := range g.stores[m.to].Merge(g.now, m.items) {
		s, err := member.ParseStatement(item.Value)
		assert.NilError(t, err)
		g.views[m.to].ApplyStatement(g.now, s)
	}
}

// step is one round: the VMs whose turn it is make a statement, then each VM
// exchanges with its targets what it knew when the round began.
func (g *gossip) step(t *testing.T, number int) {
	g.now = g.now.Add(round)
	every := max(1, int(time.Duration(len(g.ids))*statementEvery/round))
	var messages []message
	for i, id := range g.ids {
		if (number+i)%every == 0 {
			g.state(t, g.own[id].Next())
		}
		for _, to := range g.stores[id].Targets(g.ids) {
			messages = append(messages, g.message(id, to), g.message(to, id))
		}
	}
	for _, m := range messages {
		g.deliver(t, m)
	}
}

func (g *gossip) knowLeaving(id call.VMID) int {
	n := 0
	for _, v := range g.views {
		if v.Verdict(g.now, id).Reason == member.ReasonSaysLeaving {
			n++
		}
	}
	return n
}

// A VM's word that it leaves reaches all others within seconds beside the usual
// statements, whose bytes do not grow with the fleet.
func TestLeavingSpreadsAtSize(t *testing.T) {
	for _, n := range []int{9, 50, 100, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			g := newGossip(t, n)
			const before = 30
			for i := range before {
				g.step(t, i)
			}
			perSecond := float64(g.bytes) / float64(n) / (before * round).Seconds()
			leaves := g.ids[n/2]
			g.state(t, g.own[leaves].Leave())
			rounds := 0
			for ; g.knowLeaving(leaves) < n-1 && rounds < 20; rounds++ {
				g.step(t, before+rounds)
			}
			t.Logf("%d VMs: all know after %d rounds of %s; %.0f bytes of items sent a second by each VM", n, rounds, round, perSecond)
			assert.Assert(t, time.Duration(rounds)*round <= 5*time.Second, "%d rounds", rounds)
		})
	}
}
