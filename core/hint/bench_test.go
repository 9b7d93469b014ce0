package hint

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkMemory reports the bytes of each remembered prefix with two replicas.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				t := New(Config{MaxEntries: n})
				for i := range uint64(n) {
					t.Sent("m", []uint64{i}, "replica-1")
					t.Sent("m", []uint64{i}, "replica-2")
				}
				b.ReportMetric(float64(heap()-before)/float64(n), "B/prefix")
				runtime.KeepAlive(t)
			}
		})
	}
}

func heap() uint64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func BenchmarkLookup(b *testing.B) {
	for _, n := range []int{1000, 4000, 16000, 64000} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			t := New(Config{MaxEntries: n})
			for i := range uint64(n) {
				t.Sent("m", []uint64{i}, "replica-1")
			}
			b.ReportAllocs()
			for b.Loop() {
				t.Lookup("m", []uint64{1, 2, 3, 1 << 60})
			}
		})
	}
}
