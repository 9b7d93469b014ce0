package hint

import (
	"fmt"
	"runtime"
	"testing"

	"gentianwell/core/gwtest"
)

// BenchmarkMemory reports the bytes of memory per prefix with two replicas.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := gwtest.Heap()
				t := New(Config{MaxEntries: n})
				for i := range uint64(n) {
					t.Sent("m", []uint64{i}, "replica-1")
					t.Sent("m", []uint64{i}, "replica-2")
				}
				b.ReportMetric(float64(gwtest.Heap()-before)/float64(n), "B/prefix")
				runtime.KeepAlive(t)
			}
		})
	}
}
