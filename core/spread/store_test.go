package spread

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var epoch = time.Unix(1000, 0)

func newStore(self string) *Store {
	return New(Config{Self: call.VMID(self), Rand: rand.New(rand.NewPCG(gwtest.Seed(), 7))})
}

func item(key string, version uint64, value string) Item {
	return Item{ID: ID{"k", key}, Version: version, Value: []byte(value), Expires: epoch.Add(time.Hour)}
}

func TestNeighbours(t *testing.T) {
	all := []call.VMID{"a", "b", "c", "d", "e", "f", "g", "h", "i"}
	got := Neighbours("a", all)
	assert.DeepEqual(t, got, []call.VMID{"b", "c", "e", "f", "h", "i"})
	assert.Equal(t, len(Neighbours("a", nil)), 0)
}

func TestItemsExpire(t *testing.T) {
	s := newStore("a")
	s.Put(epoch, item("x", 1, "v"))
	assert.Equal(t, len(s.Batch(epoch, 9)), 1)
	assert.Equal(t, len(s.Batch(epoch.Add(2*time.Hour), 9)), 0)
	assert.Equal(t, s.Len(), 0)
}

// Merging the same items in another order or more than once gives the same state.
func TestMergeOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		items := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) Item {
			return item(rapid.SampledFrom([]string{"x", "y"}).Draw(t, "key"),
				rapid.Uint64Range(1, 3).Draw(t, "version"), rapid.SampledFrom([]string{"p", "q"}).Draw(t, "value"))
		}), 1, 8).Draw(t, "items")
		first, second := newStore("a"), newStore("b")
		first.Merge(epoch, items)
		order := rapid.Permutation(items).Draw(t, "order")
		second.Merge(epoch, order)
		second.Merge(epoch, items)
		assert.DeepEqual(t, first.All(epoch, "k"), second.All(epoch, "k"))
	})
}

// rounds returns the number of rounds of exchanges until all n VMs know an item, or
// -1 if 99 do not suffice.
func rounds(n int) int {
	ids := make([]call.VMID, n)
	stores := map[call.VMID]*Store{}
	for i := range ids {
		ids[i] = call.VMID(fmt.Sprintf("e%03d", i))
		stores[ids[i]] = newStore(string(ids[i]))
	}
	stores[ids[0]].Put(epoch, item("x", 1, "v"))
	for round := 1; round < 100; round++ {
		exchangeAll(stores, ids)
		lacks := func(id call.VMID) bool { return stores[id].Len() == 0 }
		if !slices.ContainsFunc(ids, lacks) {
			return round
		}
	}
	return -1
}

// exchangeAll runs one round, in which all messages are written before any is
// merged.
func exchangeAll(stores map[call.VMID]*Store, ids []call.VMID) {
	received := map[call.VMID]Items{}
	for _, from := range ids {
		for _, to := range stores[from].Targets(ids) {
			received[to] = append(received[to], stores[from].Batch(epoch, len(ids))...)
			received[from] = append(received[from], stores[to].Batch(epoch, len(ids))...)
		}
	}
	for id, items := range received {
		stores[id].Merge(epoch, items)
	}
}

// All VMs know an item after at most 2 ceil(log2(n)) rounds. With 330 VMs that is
// 18 rounds of 500 ms, which stays within the 11 s that settings may take.
func TestSpreadRounds(t *testing.T) {
	for _, tt := range []struct{ n, most int }{{3, 4}, {9, 8}, {50, 12}, {100, 14}, {330, 18}} {
		got := rounds(tt.n)
		t.Logf("%d VMs: %d rounds", tt.n, got)
		assert.Assert(t, got > 0 && got <= tt.most, "%d VMs: got %d rounds, want at most %d", tt.n, got, tt.most)
	}
}

func BenchmarkBatch(b *testing.B) {
	for _, n := range []int{16, 128, 1024, 4096} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			s := newStore("a")
			for i := range n {
				s.Put(epoch, item(fmt.Sprint(i), 1, "some state of a VM, sixty-four bytes long or nearly so"))
			}
			b.ReportAllocs()
			for b.Loop() {
				s.Batch(epoch, 330)
			}
		})
	}
}

func ExampleStore() {
	s := newStore("e1")
	s.Put(epoch, item("e1", 1, "leaving"))
	for _, it := range s.Batch(epoch, 9) {
		fmt.Println(it.Key, string(it.Value))
	}
	// Output: e1 leaving
}

// An item that is larger than a message kept all other items from being sent often enough,
// and was never sent itself: the records of a crash that several VMs had seen.
func TestBatchWithItemLargerThanMessage(t *testing.T) {
	s := newStore("a")
	s.Put(epoch, item("large", 1, strings.Repeat("v", 2*s.config.BatchBytes)))
	for i := range 3 {
		s.Put(epoch, item(fmt.Sprint("small", i), 1, "v"))
	}
	sent := map[string]int{}
	for range 8 {
		for _, it := range s.Batch(epoch, 9) {
			sent[it.ID.Key]++
		}
	}
	for _, key := range []string{"large", "small0", "small1", "small2"} {
		assert.Assert(t, sent[key] >= 2, "%s was sent %d times", key, sent[key])
	}
	// Also a VM that was cut off gets it.
	clear(sent)
	for range 100 {
		for _, it := range s.Batch(epoch, 9) {
			sent[it.ID.Key]++
		}
	}
	assert.Assert(t, sent["large"] > sendsPerDoubling*4, "sent %d times", sent["large"])
}
