package poison

import (
	"fmt"
	"runtime"
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

var benchSizes = []int{1000, 4000, 8000, 16000}

func benchItems(b *testing.B, n int) Items {
	r := newRegistry(b, Config{Self: "other"})
	for i := range n {
		r.Crashed(t0, Fingerprint(i), call.ReplicaID("replica-1"), false)
		r.Crashed(t0, Fingerprint(i), call.ReplicaID("replica-2"), false)
	}
	return r.Pending(t0)
}

func BenchmarkMerge(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			items := benchItems(b, n)
			r := newRegistry(b, Config{})
			b.ReportAllocs()
			i := 0
			for b.Loop() {
				assert.NilError(b, r.Merge(t0, items[i%n]))
				i++
			}
		})
	}
}

func BenchmarkJudge(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newRegistry(b, Config{})
			for _, item := range benchItems(b, n) {
				assert.NilError(b, r.Merge(t0, item))
			}
			b.ReportAllocs()
			for b.Loop() {
				r.Judge(t0, 1<<60)
			}
		})
	}
}

func BenchmarkMemory(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			items := benchItems(b, n)
			for b.Loop() {
				before := gwtest.Heap()
				r := newRegistry(b, Config{})
				for _, item := range items {
					assert.NilError(b, r.Merge(t0, item))
				}
				b.ReportMetric(float64(gwtest.Heap()-before)/float64(n), "B/fingerprint")
				runtime.KeepAlive(r)
			}
			b.ReportMetric(float64(len(items[0].Key)+len(items[0].Value)), "B/item")
		})
	}
}

// BenchmarkRefusedParts looks up the parts of a prompt: one unknown, one popular with crashes.
func BenchmarkRefusedParts(b *testing.B) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newPartRegistry(b, "e1")
			for i := range n {
				r.CrashedRun(ms(100), Fingerprint(i), run{"a", 50, 100}.crash())
			}
			for i := range 9 {
				replica := call.ReplicaID(fmt.Sprint("r", i))
				other := newPartRegistry(b, call.VMID(replica))
				other.CrashedRun(ms(100), 7, run{replica, 50, 100}.crash())
				assert.NilError(b, r.MergeSnapshot(ms(200), 7, other.Snapshot(7).Value))
			}
			r.Finished(ms(300), 7)
			fps := []Fingerprint{1 << 60, 7}
			b.ReportAllocs()
			for b.Loop() {
				r.RefusedParts(ms(400), fps)
			}
		})
	}
}

// BenchmarkFinished records a finished run of a part without crashes.
func BenchmarkFinished(b *testing.B) {
	c := partConfig
	c.RecentFinishes = 4096
	r := newRegistry(b, c)
	b.ReportAllocs()
	i := 0
	for b.Loop() {
		r.Finished(ms(i/1000), Fingerprint(i%3000))
		i++
	}
}

// The parts have records of six VMs each, and no crashes in common.
func BenchmarkManyRefusedParts(b *testing.B) {
	for _, n := range []int{10, 100, 500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			r := newPartRegistry(b, "e1")
			for i := range n {
				for vm := range 6 {
					other := newPartRegistry(b, call.VMID(fmt.Sprint("v", vm)))
					for c := range 3 {
						lost := run{call.ReplicaID(fmt.Sprint(i, "-", c)), 1000 * c, 1000*c + 100}
						other.CrashedRun(ms(lost.lost), Fingerprint(i), lost.crash())
					}
					assert.NilError(b, r.MergeSnapshot(ms(4000), Fingerprint(i), other.Snapshot(Fingerprint(i)).Value))
				}
			}
			for b.Loop() {
				r.RefusedParts(ms(5000), []Fingerprint{1, 2, 3, 4})
			}
		})
	}
}
