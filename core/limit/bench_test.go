package limit

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func benchKey(i int) Key { return Key(fmt.Sprintf("team/team-%04d/tokens", i)) }

// BenchmarkAllocatorReport measures Allocator.Report of one key's demands from the given
// number of VMs.
func BenchmarkAllocatorReport(b *testing.B) {
	for _, vms := range []int{9, 50, 150, 330} {
		b.Run(fmt.Sprintf("vms=%d", vms), func(b *testing.B) {
			a := newTestAllocator(b, start, 0.1, fixed(testLimit))
			now := start.Add(testTTL)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				a.Report(now, Member(fmt.Sprint(i%vms)), Demands{{testKey, float64(i % 50)}})
				now = now.Add(10 * time.Millisecond)
			}
		})
	}
}

// BenchmarkLocalAllow measures Local.Allow over the given number of teams' limits in
// turn.
func BenchmarkLocalAllow(b *testing.B) {
	for _, teams := range []int{10, 100, 500, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			l := newTestLocal(b, 0.1)
			keys := make([]Key, teams)
			for i := range keys {
				keys[i] = benchKey(i)
			}
			now := start
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				l.Allow(now, Charge{keys[i%teams], 1})
				now = now.Add(time.Millisecond)
			}
		})
	}
}

// BenchmarkMemory reports the heap bytes of a limit in a Local and of a member in an
// Allocator.
func BenchmarkMemory(b *testing.B) {
	for _, n := range []int{10, 100, 500, 1700} {
		b.Run(fmt.Sprintf("n=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				l := newTestLocal(b, 0.1)
				for i := range n {
					l.Allow(start, Charge{benchKey(i), 1})
				}
				middle := heapBytes()
				a := newTestAllocator(b, start.Add(-testTTL), 0.1, fixed(testLimit))
				for i := range n {
					a.Report(start, Member(fmt.Sprint("vm", i)), Demands{{testKey, 1}})
				}
				after := heapBytes()
				b.ReportMetric(float64(middle-before)/float64(n), "B/limit")
				b.ReportMetric(float64(after-middle)/float64(n), "B/member")
				runtime.KeepAlive(l)
				runtime.KeepAlive(a)
			}
		})
	}
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
