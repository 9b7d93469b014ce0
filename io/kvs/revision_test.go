package kvs

import (
	"cmp"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	_ "gentianwell/core/gwtest"
)

// Revisions are ordered by era and then by number: a restored service gives numbers out
// again, and a lower number of a later era is newer.
func TestRevisionOrder(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		draw := func(label string) (int64, int64) {
			return rapid.Int64Range(0, MaxEra).Draw(t, label+"Era"), rapid.Int64Range(0, MaxNumber).Draw(t, label+"Number")
		}
		era1, number1 := draw("first")
		era2, number2 := draw("second")
		if rapid.Bool().Draw(t, "sameEra") {
			era2 = era1
		}
		a, b := MakeRevision(era1, number1), MakeRevision(era2, number2)
		assert.Equal(t, cmp.Compare(a, b), cmp.Or(cmp.Compare(era1, era2), cmp.Compare(number1, number2)))
		assert.Equal(t, a.Era(), era1)
		assert.Equal(t, a.Number(), number1)
	})
}
