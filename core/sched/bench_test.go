package sched

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"gentianwell/core/call"
)

// BenchmarkAdmission measures Offer, Next and Remove while items of all tiers and of
// the given number of teams are waiting.
func BenchmarkAdmission(b *testing.B) {
	for _, teams := range []int{10, 50, 200, 600, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			q, items := newLoadedQueue(b, teams)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				it := items[i%len(items)]
				it.Call.ID = "bench"
				q.Offer(start, it)
				q.Next(start, "m")
				q.Remove("bench")
				it.Call.ID = fmt.Sprint("x", i)
				q.Offer(start, it)
			}
		})
	}
}

// BenchmarkMemory reports the bytes that a waiting item uses, including its team's.
func BenchmarkMemory(b *testing.B) {
	for _, teams := range []int{10, 50, 200, 600, 1700} {
		b.Run(fmt.Sprintf("teams=%d", teams), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
				q, items := newLoadedQueue(b, teams)
				after := heapBytes()
				b.ReportMetric(float64(after-before)/float64(q.Len()), "B/item")
				b.ReportMetric(float64(q.Len()), "items")
				runtime.KeepAlive(items)
			}
		})
	}
}

// newLoadedQueue returns a queue with one waiting item of each team in each tier.
func newLoadedQueue(b *testing.B, teams int) (*Queue, []Item) {
	q := newTestQueue(b, func(c *Config) {
		c.SharedCapacity, c.Protected = 20*teams*TierCount, 1
		c.Rate = func(time.Time, call.Model) float64 { return 1000 }
	})
	var items []Item
	for i := range teams * TierCount {
		team := call.Team(fmt.Sprint("team", i/TierCount))
		items = append(items, item(fmt.Sprint(i), call.Tier(i%TierCount), team, 100+i%400))
	}
	for _, it := range items {
		q.Offer(start, it)
	}
	return q, items
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
