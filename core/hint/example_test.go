package hint_test

import (
	"fmt"

	"gentianwell/core/hint"
)

func Example() {
	t := hint.New(hint.Config{MaxEntries: 1000})
	t.Sent("drafts", []uint64{11, 12}, "replica-1")
	t.Sent("drafts", []uint64{11}, "replica-2")
	t.Apply(hint.Event{Kind: hint.KindRemoved, Model: "drafts", Replica: "replica-1", Prefixes: []uint64{12}})
	for _, m := range t.Lookup("drafts", []uint64{11, 12}) {
		fmt.Println(m.Replica, m.Prefixes)
	}
	// Output:
	// replica-2 1
	// replica-1 1
}
