package conf

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
)

// BenchmarkChange reports what one change writes and what each watch gets of
// it: keys and values in base64, as the gateway's JSON carries them. The head is
// at its full length.
func BenchmarkChange(b *testing.B) {
	for _, teams := range []int{10, 100, 500, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			fake := fakekv.New(fakekv.Config{})
			store := mustStore(StoreConfig{Service: fake.Service(), Now: time.Now})
			for first := 0; first < teams; first += maxWrites {
				var c Change
				for i := first; i < min(teams, first+maxWrites); i++ {
					raw := fmt.Sprintf(`{"keyHashes": [%q], "weight": 2, "teamRequestsPerSecond": 20}`, tree.HashKey(fmt.Sprint(i)))
					c.Edits = append(c.Edits, tree.Edit{Path: fmt.Sprintf("teams.team%d", i), Value: []byte(raw)})
				}
				if _, err := store.Change(b.Context(), c, tree.Head{}); err != nil {
					b.Fatal(err)
				}
			}
			n := 0
			change := func() Accepted {
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
			var last Accepted
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
