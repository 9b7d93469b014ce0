package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var benchSizes = []int{20, 100, 300, 600}

// benchRouter has all replicas in one model and each with load.
func benchRouter(b *testing.B, replicas, vms int) *Router {
	r := newRouter(b, Config{})
	r.SetVMs(vms)
	r.SetReplicas(t0, fleet(replicas, 7))
	for i, replica := range fleet(replicas, 7) {
		r.Report(t0, replica.ID, Load{Running: i % 8, MeasuredAt: t0})
	}
	return r
}

// BenchmarkPick has as many VMs as the plan has for so many replicas.
func BenchmarkPick(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(b, n, max(1, n*330/600))
			c := request
			c.Prefixes = []uint64{1, 2, 3, 4}
			r.Hints().Sent("m", c.Prefixes, r.Subset("m")[0])
			b.ReportAllocs()
			for b.Loop() {
				d, err := r.Pick(t0, c, nil)
				if err != nil {
					b.Fatal(err)
				}
				r.Started(t0, d.Replica.ID, 1)
				r.Finished(t0, d.Replica.ID, 1, Result{Status: StatusOK, FirstToken: time.Millisecond})
			}
		})
	}
}

// BenchmarkPickWholeFleet is a VM that uses every replica, as where there are few VMs.
func BenchmarkPickWholeFleet(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(b, n, 1)
			assert.Equal(b, len(r.Subset("m")), n)
			b.ReportAllocs()
			for b.Loop() {
				if _, err := r.Pick(t0, request, nil); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

// BenchmarkSetReplicas is one change of the list, BenchmarkSetReplicasAgain the
// same list again.
func BenchmarkSetReplicas(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(b, n, max(1, n*330/600))
			lists := []Replicas{fleet(n, 7), fleet(n, 7)[1:]}
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				r.SetReplicas(t0, lists[i%2])
				i++
			}
		})
	}
}

func BenchmarkSetReplicasAgain(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(b, n, max(1, n*330/600))
			list := fleet(n, 7)
			b.ReportAllocs()
			for b.Loop() {
				r.SetReplicas(t0, list)
			}
		})
	}
}
