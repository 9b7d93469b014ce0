package stream

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"
)

// BenchmarkFeed measures an answer of the given number of tokens, both forwarded
// unchanged and with the token count removed from each chunk.
func BenchmarkFeed(b *testing.B) {
	for _, counts := range []bool{false, true} {
		for _, tokens := range []int{64, 256, 1024, 4096} {
			b.Run(fmt.Sprintf("counts=%t/tokens=%d", counts, tokens), func(b *testing.B) {
				events := benchEvents(tokens, counts)
				b.ReportAllocs()
				for b.Loop() {
					feedAll(b, events, counts)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N*tokens), "ns/token")
			})
		}
	}
}

func benchEvents(tokens int, counts bool) []Event {
	texts := make([]string, tokens)
	for i := range texts {
		texts[i] = " token"
	}
	var out []Event
	for _, data := range (script{id: "id", kind: KindChat, counts: counts}).chunks(texts) {
		out = append(out, Event{Raw: []byte("data: " + data + "\n\n"), Data: []byte(data)})
	}
	return out
}

func feedAll(b *testing.B, events []Event, counts bool) {
	b.Helper()
	c := Config{Kind: KindChat, Body: bodyOf(KindChat), Engine: Profile{CountsTokens: counts}, Idempotent: true}
	a, err := New(c)
	assert.NilError(b, err)
	_, err = a.Begin()
	assert.NilError(b, err)
	for _, e := range events {
		if _, err := a.Feed(e); err != nil {
			b.Fatal(err)
		}
	}
}
