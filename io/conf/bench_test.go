package conf

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
)

// BenchmarkChange reports the bytes of one change that each watch receives, the
// bytes of a poll of the head, and the bytes of the whole document. Keys and
// values of the first two are counted in base64, as in the gateway's JSON. The
// head lists its maximum number of changes.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 100, 500, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			fake := fakekv.New(fakekv.Config{})
			store := mustStore(StoreConfig{Service: fake.Service(), Now: time.Now})
			for first := 0; first < teams; first += maxBranchWrites {
				var c Change
				for i := first; i < min(teams, first+maxBranchWrites); i++ {
					raw := fmt.Sprintf(`{"keyHashes": [%q], "weight": 2, "teamRequestsPerSecond": 20}`, tree.HashKey(fmt.Sprint(i)))
					c.Edits = append(c.Edits, tree.Edit{Path: fmt.Sprintf("teams.team%d", i), Value: []byte(raw)})
				}
				if _, err := store.Change(b.Context(), c, tree.Head{}); err != nil {
					b.Fatal(err)
				}
			}
			n := 0
			change := func() ChangeResult {
				n++
				accepted, err := store.Change(b.Context(), set("teams.team7.weight", fmt.Sprint(1+n%1000)), tree.Head{})
				if err != nil {
					b.Fatal(err)
				}
				return accepted
			}
			for range tree.MaxRecent {
				change()
			}
			var last ChangeResult
			for b.Loop() {
				last = change()
			}
			raw, err := json.Marshal(head{Head: last.Document.Head, Generation: firstGeneration, Writes: 1})
			if err != nil {
				b.Fatal(err)
			}
			branch, _ := last.Document.Tree.Encode(tree.Branch{Kind: tree.KindTeam, Name: "team7"})
			whole, err := last.Document.Encode()
			if err != nil {
				b.Fatal(err)
			}
			base64 := func(n int) float64 { return float64(n) * 4 / 3 }
			b.ReportMetric(base64(len(raw)+len(branch)+len(HeadKey)+len(branchKey("0", tree.Branch{Kind: tree.KindTeam, Name: "team7"}))), "B/watch")
			b.ReportMetric(base64(len(raw)+len(HeadKey)), "B/poll")
			b.ReportMetric(float64(len(whole)), "B/document")
		})
	}
}

// BenchmarkRounds reports the number of gossip rounds until all VMs know the
// version that one of them has, if they learn it from peers only: the maximum and
// the mean over several seeds.
func BenchmarkRounds(b *testing.B) {
	const seeds = 20
	for _, vms := range []int{9, 47, 150, 330} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			longest, sum, runs := 0, 0, 0
			for b.Loop() {
				for seed := range seeds {
					n := rounds(vms, uint64(seed))
					longest, sum, runs = max(longest, n), sum+n, runs+1
				}
			}
			b.ReportMetric(float64(longest), "rounds/longest")
			b.ReportMetric(float64(sum)/float64(runs), "rounds/mean")
		})
	}
}

func rounds(vms int, seed uint64) int {
	var all []call.VMID
	for i := range vms {
		all = append(all, call.VMID(fmt.Sprintf("e%d", i)))
	}
	stores := map[call.VMID]*spread.Store{}
	for i, id := range all {
		stores[id] = spread.New(spread.Config{Self: id, Rand: rand.New(rand.NewPCG(seed, uint64(i)))})
	}
	has := map[call.VMID]bool{all[0]: true}
	n := 0
	for ; len(has) < vms; n++ {
		var told []call.VMID
		for _, id := range all {
			for _, other := range stores[id].Targets(all) {
				if has[id] || has[other] {
					told = append(told, id, other)
				}
			}
		}
		for _, id := range told {
			has[id] = true
		}
	}
	return n
}
