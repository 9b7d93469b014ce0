package route

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

var benchSizes = []int{20, 100, 300, 600}

// benchRouter returns a Router whose replicas all serve one model and report load.
func benchRouter(b *testing.B, replicas, vms int) *Router {
	r := newRouter(b, Config{})
	r.SetVMs(vms)
	r.SetReplicas(t0, newReplicas(replicas, 7))
	for i, replica := range newReplicas(replicas, 7) {
		r.Report(t0, replica.ID, Load{Running: i % 8, MeasuredAt: t0})
	}
	return r
}

// BenchmarkPick uses the planned number of VMs for the replicas, 330 for 600.
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

// BenchmarkPickWholeFleet measures a VM whose subset is all replicas, as with few VMs.
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

// BenchmarkSetReplicas measures a change of the list, BenchmarkSetReplicasAgain an
// unchanged list.
func BenchmarkSetReplicas(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := benchRouter(b, n, max(1, n*330/600))
			lists := []Replicas{newReplicas(n, 7), newReplicas(n, 7)[1:]}
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
			list := newReplicas(n, 7)
			b.ReportAllocs()
			for b.Loop() {
				r.SetReplicas(t0, list)
			}
		})
	}
}
