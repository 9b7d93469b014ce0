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

const (
	// round is the interval between gossip rounds.
	round = 500 * time.Millisecond
	// Each VM publishes a statement every statementEvery times the number of VMs.
	statementEvery = 300 * time.Millisecond
	// itemOverhead is the number of bytes added to the size of each item.
	itemOverhead = 24
)

// fleet simulates entry VMs that spread their statements by gossip.
type fleet struct {
	now    time.Time
	ids    []call.VMID
	stores map[call.VMID]*spread.Store
	selves map[call.VMID]*member.Self
	views  map[call.VMID]*member.View
	bytes  int
}

func newFleet(t *testing.T, n int) *fleet {
	f := &fleet{
		now: time.Unix(1000, 0), stores: map[call.VMID]*spread.Store{},
		selves: map[call.VMID]*member.Self{}, views: map[call.VMID]*member.View{},
	}
	for i := range n {
		id := call.VMID(fmt.Sprintf("entry-%04d", i))
		address := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 1, byte(i >> 8), byte(i)}), 8080)
		var err error
		f.selves[id], err = member.NewSelf(f.now, member.VM{
			ID: id, Zone: call.Zone(fmt.Sprint(i % 7)), Role: member.RoleEntry, Address: address, PeerAddress: address,
		})
		assert.NilError(t, err)
		f.views[id], err = member.New(member.Config{})
		assert.NilError(t, err)
		f.stores[id] = spread.New(spread.Config{Self: id, Rand: rand.New(rand.NewPCG(gwtest.Seed(), uint64(i)))})
		f.ids = append(f.ids, id)
	}
	return f
}

func (f *fleet) publish(t *testing.T, s member.Statement) {
	raw, err := json.Marshal(s)
	assert.NilError(t, err)
	f.stores[s.VM.ID].Put(f.now, spread.Item{
		ID:      spread.ID{Kind: "member", Key: string(s.VM.ID)},
		Version: s.Version(), Value: raw, Expires: f.now.Add(5 * time.Minute),
	})
}

// message holds the items that one VM sends to another in a round.
type message struct {
	to    call.VMID
	items spread.Items
}

func (f *fleet) message(from, to call.VMID) message {
	m := message{to: to, items: f.stores[from].Batch(f.now, len(f.ids))}
	for _, item := range m.items {
		f.bytes += len(item.Kind) + len(item.Key) + len(item.Value) + itemOverhead
	}
	return m
}

func (f *fleet) deliver(t *testing.T, m message) {
	for _, item := range f.stores[m.to].Merge(f.now, m.items) {
		s, err := member.ParseStatement(item.Value)
		assert.NilError(t, err)
		f.views[m.to].ApplyStatement(f.now, s)
	}
}

// step simulates one round: the VMs whose turn it is publish a statement, then each
// VM exchanges with its targets the items known at the start of the round.
func (f *fleet) step(t *testing.T, number int) {
	f.now = f.now.Add(round)
	every := max(1, int(time.Duration(len(f.ids))*statementEvery/round))
	var messages []message
	for i, id := range f.ids {
		if (number+i)%every == 0 {
			f.publish(t, f.selves[id].Next())
		}
		for _, to := range f.stores[id].Targets(f.ids) {
			messages = append(messages, f.message(id, to), f.message(to, id))
		}
	}
	for _, m := range messages {
		f.deliver(t, m)
	}
}

// countInformed returns how many VMs know that the given one is leaving.
func (f *fleet) countInformed(id call.VMID) int {
	n := 0
	for _, v := range f.views {
		if v.Verdict(f.now, id).Reason == member.ReasonSaysLeaving {
			n++
		}
	}
	return n
}

// A VM's statement that it is leaving reaches all other VMs within seconds,
// alongside the regular statements. Logs the bytes sent per VM, which should not
// grow with the fleet.
func TestLeavingSpreadsAtSize(t *testing.T) {
	for _, n := range []int{9, 50, 100, 330} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			f := newFleet(t, n)
			const before = 30
			for i := range before {
				f.step(t, i)
			}
			perSecond := float64(f.bytes) / float64(n) / (before * round).Seconds()
			leavingID := f.ids[n/2]
			f.publish(t, f.selves[leavingID].Leave())
			rounds := 0
			for ; f.countInformed(leavingID) < n-1 && rounds < 20; rounds++ {
				f.step(t, before+rounds)
			}
			t.Logf("%d VMs: all know after %d rounds of %s; %.0f bytes of items sent a second by each VM", n, rounds, round, perSecond)
			assert.Assert(t, time.Duration(rounds)*round <= 5*time.Second, "%d rounds", rounds)
		})
	}
}
