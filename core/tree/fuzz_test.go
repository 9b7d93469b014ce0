package tree

import (
	"encoding/json"
	"testing"
)

// FuzzParse checks that no document makes Parse panic, and that an accepted tree
// is unchanged after encoding and parsing, as a whole and branch by branch.
func FuzzParse(f *testing.F) {
	seeds := []string{
		sampleTree, `{}`, `null`, `{"site": null}`, `[{"a": [1, {}]}]`, `{"site": {"deadline": "1h", "tier": 1e1}}`,
		`{"teams": {"a": {"classes": {}}}}`, `{"classes": {"é": {}}}`, `{"models": {"a.tier": {"versions": ["x"]}}}`,
		"[{\"a\": 2/R [1, {}]}]", `{"site": {"weight": 1e999}}`,
		`{"services": {"s": {"pathPrefix": "/a/", "idempotentMethods": []}}}`, `{"teams": {"a": {}, "a": {}}}`, "{\"site\": {\"weight\": 1}} x",
	}
	for _, s := range seeds {
		f.Add([]byte(s))
	}
	f.Fuzz(func(t *testing.T, document []byte) {
		first, err := Parse(document)
		if err != nil {
			if err.Error() == "" {
				t.Fatal("empty message")
			}
			return
		}
		raw, err := json.Marshal(first)
		if err != nil {
			t.Fatal(err)
		}
		second, err := Parse(raw)
		if err != nil {
			t.Fatalf("%s: %v", raw, err)
		}
		branches := map[Branch][]byte{}
		for _, b := range first.Branches() {
			key, err := ParseBranchKey(b.Key())
			if err != nil || key != b {
				t.Fatalf("%v: %v", b, err)
			}
			branches[b], _ = first.Encode(b)
		}
		third, err := Assemble(branches)
		if err != nil {
			t.Fatal(err)
		}
		if d := append(first.Diff(second), first.Diff(third)...); len(d) > 0 {
			t.Fatalf("%s: %v", document, d)
		}
		NewSnapshot(Document{Tree: second})
	})
}

// FuzzParseDocument checks that no input from a peer makes ParseDocument panic,
// and that an accepted document can be encoded and parsed again, with the same
// head, and merged.
func FuzzParseDocument(f *testing.F) {
	f.Add([]byte(`{"version": 3, "changeId": "c", "recent": [{"version": 2, "changeId": "b"}], "tree": {}}`))
	f.Add([]byte(`{"version": 1, "tree": {"site": {"tier": 9}}}`))
	f.Add([]byte(`{"version": -1, "tree": {}}`))
	f.Add([]byte(`{"version": 1, "time": "x", "tree": null}`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		first, err := ParseDocument(raw)
		if err != nil {
			return
		}
		if err := first.Tree.Validate(); err != nil {
			t.Fatal(err)
		}
		again, err := first.Encode()
		if err != nil {
			t.Fatal(err)
		}
		second, err := ParseDocument(again)
		if err != nil {
			t.Fatalf("%s: %v", again, err)
		}
		if v := first.Compare(second.Head).Relation; v != RelationSame {
			t.Fatalf("%s: %s", raw, v)
		}
		first.Merge(second, MergeOptions{ChangeID: "m"})
	})
}
