package tree

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"gentianwell/core/call"
)

var benchSizes = []int{10, 100, 500, 1700}

// treeWithTeams returns a tree with 8 classes, 22 models and the given number of
// teams. Each team has a key, three values and overrides for one class.
func treeWithTeams(teams int) *Tree {
	t := (&Tree{}).clone()
	for i := range 8 {
		t.Classes[call.Class(fmt.Sprintf("class%d", i))] = decodeClass("", []byte(fmt.Sprintf(`{"tier": %d, "maxWait": "%ds"}`, i, i+1)), &Problems{})
	}
	for i := range 22 {
		t.Models[call.Model(fmt.Sprintf("model-%d", i))] = Model{MinReplicas: 2, Versions: []string{"2026-08"}}
	}
	for i := range teams {
		raw := fmt.Sprintf(`{"keyHashes": [%q], "weight": 2, "teamRequestsPerSecond": 20, "defaultClass": "class3",
			"classes": {"class%d": {"deadline": "40s", "tokensPerSecond": 2000}}}`, HashKey(fmt.Sprint("key", i)), i%8)
		t.Teams[call.Team(fmt.Sprintf("team%d", i))] = decodeTeam("", []byte(raw), &Problems{})
	}
	return t
}

func forEachSize(b *testing.B, run func(b *testing.B, t *Tree)) {
	for _, n := range benchSizes {
		b.Run(fmt.Sprintf("teams=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			run(b, treeWithTeams(n))
		})
	}
}

func BenchmarkParse(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *Tree) {
		raw, err := json.Marshal(t)
		if err != nil {
			b.Fatal(err)
		}
		b.ReportMetric(float64(len(raw)), "B/document")
		for b.Loop() {
			if _, err := Parse(raw); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkApplyAndIndex measures the work of a VM for one change: apply,
// validate, index.
func BenchmarkApplyAndIndex(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *Tree) {
		edits := Edits{{Path: "teams.team7.weight", Value: []byte("3")}}
		for b.Loop() {
			next, err := t.Apply(edits)
			if err != nil {
				b.Fatal(err)
			}
			NewSnapshot(Document{Tree: next})
		}
	})
}

// BenchmarkDiff measures the additional work of a VM for a change that it accepts.
func BenchmarkDiff(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *Tree) {
		other := t.clone()
		for b.Loop() {
			t.Diff(other)
		}
	})
}

func BenchmarkLookup(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *Tree) {
		snap := NewSnapshot(Document{Tree: t})
		for b.Loop() {
			team, _ := snap.TeamByKey("key7")
			if _, err := snap.Effective(team, "class3"); err != nil {
				b.Fatal(err)
			}
		}
	})
}

// BenchmarkMemory reports the heap size of a tree with its index.
func BenchmarkMemory(b *testing.B) {
	forEachSize(b, func(b *testing.B, t *Tree) {
		raw, err := json.Marshal(t)
		if err != nil {
			b.Fatal(err)
		}
		var kept []*Snapshot
		before := heapBytes()
		for b.Loop() {
			parsed, err := Parse(raw)
			if err != nil {
				b.Fatal(err)
			}
			kept = append(kept, NewSnapshot(Document{Tree: parsed}))
		}
		b.ReportMetric(float64(heapBytes()-before)/float64(len(kept)), "B/kept")
		runtime.KeepAlive(kept)
	})
}

func heapBytes() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}
