package hint

import (
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	_ "gentianwell/core/gwtest"
)

func TestLookupLongestFirst(t *testing.T) {
	table := New(Config{})
	table.Sent("m", []uint64{1, 2}, "a")
	table.Sent("m", []uint64{1, 2, 3}, "b")
	tests := []struct {
		name     string
		model    call.Model
		prefixes []uint64
		want     Matches
	}{
		{"longest", "m", []uint64{1, 2, 3, 4}, Matches{{"b", 3}, {"a", 2}}},
		{"newest", "m", []uint64{1}, Matches{{"b", 1}, {"a", 1}}},
		{"other prompt", "m", []uint64{9}, nil},
		{"other model", "n", []uint64{1}, nil},
		{"no prefixes", "m", nil, nil},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			assert.DeepEqual(t, table.Lookup(tt.model, tt.prefixes), tt.want)
		})
	}
}

func TestApplyLateEventsAndGaps(t *testing.T) {
	stored := func(sequence uint64, prefix uint64) Event {
		return Event{Kind: KindStored, Model: "m", Replica: "a", Prefixes: []uint64{prefix}, Sequence: sequence}
	}
	removed := func(sequence uint64, prefix uint64) Event {
		e := stored(sequence, prefix)
		e.Kind = KindRemoved
		return e
	}
	tests := []struct {
		name   string
		events []Event
		want   int
	}{
		{"in order", []Event{stored(1, 7), removed(2, 7)}, 0},
		{"late store is ignored", []Event{removed(2, 7), stored(1, 7)}, 0},
		{"twice", []Event{stored(1, 7), stored(1, 7)}, 1},
		{"gap", []Event{stored(1, 7), stored(9, 8)}, 2},
		{"restarted replica", []Event{stored(5000, 7), stored(1, 8)}, 2},
		{"cleared", []Event{stored(1, 7), stored(2, 8), {Kind: KindCleared, Replica: "a", Sequence: 3}}, 0},
		{"not numbered", []Event{stored(0, 7), removed(0, 7)}, 0},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			table := New(Config{})
			for _, e := range tt.events {
				table.Apply(e)
			}
			assert.Equal(t, table.Len(), tt.want)
		})
	}
}

// After any sequence of requests and events, the table keeps its limits and Lookup
// returns each replica once, the longest prefix first.
func TestTableBounds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		c := Config{MaxEntries: 8, MaxReplicas: 3}
		table := New(c)
		ids := rapid.SampledFrom([]call.ReplicaID{"a", "b", "c", "d", "e"})
		prefixes := rapid.SliceOfN(rapid.Uint64Range(1, 20), 0, 12)
		kinds := rapid.SampledFrom([]EventKind{KindStored, KindRemoved, KindCleared})
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.Bool().Draw(t, "sent") {
				table.Sent("m", prefixes.Draw(t, "prefixes"), ids.Draw(t, "id"))
			} else {
				table.Apply(Event{
					Kind: kinds.Draw(t, "kind"), Model: "m", Replica: ids.Draw(t, "id"),
					Prefixes: prefixes.Draw(t, "prefixes"), Sequence: rapid.Uint64Range(0, 3000).Draw(t, "sequence"),
				})
			}
			assert.Assert(t, table.Len() <= c.MaxEntries)
			assert.Equal(t, table.Len(), len(table.entries))
			for _, element := range table.entries {
				assert.Assert(t, len(element.Value.(*entry).replicas) <= c.MaxReplicas)
			}
			checkMatches(t, c, table.Lookup("m", prefixes.Draw(t, "lookup")))
		}
	})
}

func checkMatches(t *rapid.T, c Config, got Matches) {
	assert.Assert(t, len(got) <= c.MaxReplicas)
	seen := map[call.ReplicaID]bool{}
	for i, m := range got {
		assert.Assert(t, !seen[m.Replica], "twice: %s", m.Replica)
		seen[m.Replica] = true
		assert.Assert(t, i == 0 || got[i-1].Prefixes >= m.Prefixes)
	}
}

func TestForget(t *testing.T) {
	table := New(Config{})
	table.Sent("m", []uint64{1, 2}, "a")
	table.Sent("m", []uint64{1}, "b")
	table.Forget("a")
	assert.DeepEqual(t, table.Lookup("m", []uint64{1, 2}), Matches{{"b", 1}})
}
