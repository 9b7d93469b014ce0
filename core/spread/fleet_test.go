package spread

import (
	"fmt"
	"testing"
	"time"

	"gentianwell/core/call"
)

// valueBytes is the length of a VM's description of itself.
const valueBytes = 230

// BenchmarkFleet measures what one VM sends, in messages and bytes per second, if
// each of the n VMs renews one item every n seconds (one renewal per second in all,
// as io/node does) and a round takes 500 ms.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var bytes, messages int
			rounds := 2 * 60
			for b.Loop() {
				bytes, messages = simulateFleet(n, rounds)
			}
			seconds := float64(rounds) / 2
			b.ReportMetric(float64(bytes)/float64(n)/seconds, "bytes/vm/s")
			b.ReportMetric(float64(messages)/float64(n)/seconds, "messages/vm/s")
		})
	}
}

// simulateFleet runs rounds of exchanges and returns what all VMs send.
func simulateFleet(n, rounds int) (bytes, messages int) {
	ids := make([]call.VMID, n)
	stores := map[call.VMID]*Store{}
	for i := range ids {
		ids[i] = call.VMID(fmt.Sprintf("e%03d", i))
		stores[ids[i]] = newStore(string(ids[i]))
	}
	value := make([]byte, valueBytes)
	now := epoch
	for round := range rounds {
		now = now.Add(500 * time.Millisecond)
		if round%2 == 0 {
			id := ids[round/2%n]
			stores[id].Put(now, Item{ID: ID{"member", string(id)}, Version: uint64(round + 1), Value: value, Expires: now.Add(15 * time.Minute)})
		}
		received := map[call.VMID]Items{}
		for _, from := range ids {
			for _, to := range stores[from].Targets(ids) {
				for _, link := range [2][2]call.VMID{{from, to}, {to, from}} {
					batch := stores[link[0]].Batch(now, n)
					received[link[1]] = append(received[link[1]], batch...)
					messages++
					for _, it := range batch {
						bytes += it.size()
					}
				}
			}
		}
		for id, items := range received {
			stores[id].Merge(now, items)
		}
	}
	return bytes, messages
}
