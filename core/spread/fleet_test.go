package spread

import (
	"fmt"
	"testing"
	"time"

	"gentianwell/core/call"
)

// statementBytes is the length of what a VM says of itself.
const statementBytes = 230

// BenchmarkFleet measures what one VM sends, in messages and bytes a second, when
// every VM renews one item every n seconds (one renewal a second in the fleet, as
// io/node does) and rounds are 500 ms.
func BenchmarkFleet(b *testing.B) {
	for _, n := range []int{9, 30, 100, 330} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var bytes, messages int
			rounds := 2 * 60
			for b.Loop() {
				bytes, messages = playFleet(n, rounds)
			}
			seconds := float64(rounds) / 2
			b.ReportMetric(float64(bytes)/float64(n)/seconds, "bytes/vm/s")
			b.ReportMetric(float64(messages)/float64(n)/seconds, "messages/vm/s")
		})
	}
}

// playFleet runs rounds of exchanges and counts what all VMs send.
func playFleet(n, rounds int) (bytes, messages int) {
	ids := make([]call.VMID, n)
	stores := map[call.VMID]*Store{}
	for i := range ids {
		ids[i] = call.VMID(fmt.Sprintf("e%03d", i))
		stores[ids[i]] = newStore(string(ids[i]))
	}
	value := make([]byte, statementBytes)
	now := epoch
	for round := range rounds {
		now = now.Add(500 * time.Millisecond)
		if round%2 == 0 {
			id := ids[round/2%n]
			stores[id].Put(now, Item{ID: ID{"member", string(id)}, Version: uint64(round + 1), Value: value, Expires: now.Add(15 * time.Minute)})
		}
		heard := map[call.VMID]Items{}
		for _, from := range ids {
			for _, to := range stores[from].Targets(ids) {
				for _, side := range [2][2]call.VMID{{from, to}, {to, from}} {
					batch := stores[side[0]].Batch(now, n)
					heard[side[1]] = append(heard[side[1]], batch...)
					messages++
					for _, it := range batch {
						bytes += it.size()
					}
				}
			}
		}
		for id, items := range heard {
			stores[id].Merge(now, items)
		}
	}
	return bytes, messages
}
