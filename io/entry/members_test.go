package entry

import (
	"math/rand/v2"
	"net/netip"
	"strings"
	"testing"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/spread"
)

func newMembers(vm call.VMID) *members {
	log, _ := logtest.NewNullLogger()
	return &members{
		self: vm, address: netip.MustParseAddrPort("10.0.0.1:1"), log: log, unreachable: map[call.VMID]bool{}, storeUp: func() bool { return true },
		items: spread.New(spread.Config{Self: vm, Rand: rand.New(rand.NewPCG(1, 2))}),
	}
}

// The announcements of a VM whose clock was set back seemed to be older than those before, also
// after a restart: other VMs did not learn that it had lost the store.
func TestAnnouncementsAfterClockIsSetBack(t *testing.T) {
	for name, restarts := range map[string]bool{"same process": false, "new process": true} {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(100000, 0)
			a, b := newMembers("a"), newMembers("b")
			clocks := map[call.VMID]time.Time{"a": now, "b": now}
			pass := func(from, to *members) {
				for _, item := range from.items.All(clocks[from.self], kindVM) {
					item.Expires = clocks[to.self].Add(item.Expires.Sub(clocks[from.self]))
					to.items.Put(clocks[to.self], item)
				}
			}
			a.announce(clocks["a"])
			pass(a, b)
			clocks["a"] = clocks["a"].Add(-time.Minute)
			if restarts {
				a = newMembers("a")
				pass(b, a)
			}
			for i := range 2 * int(memberTTL/announceInterval) {
				for vm := range clocks {
					clocks[vm] = clocks[vm].Add(announceInterval)
				}
				lost := i%2 == 0
				a.storeUp = func() bool { return !lost }
				a.announce(clocks["a"])
				pass(a, b)
				item, known := b.items.Get(clocks["b"], spread.ID{Kind: kindVM, Key: "a"})
				assert.Assert(t, known)
				assert.Equal(t, strings.Contains(string(item.Value), "storeLost"), lost)
			}
		})
	}
}
