package event

import (
	"testing"

	"gotest.tools/v3/assert"

	_ "gentianwell/core/gwtest"
)

func TestScan(t *testing.T) {
	for _, test := range []struct {
		name, data string
		want       Prefix
	}{
		{"no data", "", Prefix{}},
		{"incomplete event", "id: 1\ndata: x\n", Prefix{}},
		{"one event", "id: 1\ndata: x\n\n", Prefix{Bytes: 15, Events: 1, LastID: "1"}},
		{"one event and an incomplete one", "id: 1\ndata: x\n\nid: 2\nda", Prefix{Bytes: 15, Events: 1, LastID: "1"}},
		{"two events", "id:1\n\nid:2\r\n\r\n", Prefix{Bytes: 14, Events: 2, LastID: "2"}},
		{"header line first", "weights: 3\nid: 4\ndata: y\n\n", Prefix{Bytes: 26, Events: 1, LastID: "4"}},
		{"no id", "data: x\n\n", Prefix{Bytes: 9, Events: 1, EndsWithoutID: true}},
		{"id, then none", "id: 1\n\ndata: x\n\n: y\n\n", Prefix{Bytes: 21, Events: 2, LastID: "1", EndsWithoutID: true}},
		{"no id, then one", "data: x\n\nid: 1\n\n", Prefix{Bytes: 16, Events: 2, LastID: "1"}},
		{"repeated id", "id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n", Prefix{Bytes: 14, Events: 2, LastID: "2", OutOfOrder: true}},
		{"empty lines", "\n\n", Prefix{Bytes: 2}},
		{"comment", ": busy\n\n", Prefix{Bytes: 8}},
		{"event with a comment", ": busy\nid: 1\n\n", Prefix{Bytes: 14, Events: 1, LastID: "1"}},
	} {
		assert.Equal(t, Scan([]byte(test.data), ""), test.want, test.name)
	}
}

func TestFollows(t *testing.T) {
	assert.Assert(t, follows("9", "10"))
	assert.Assert(t, !follows("10", "10"))
	assert.Assert(t, !follows("10", "9"))
	assert.Assert(t, follows("", "1"))
	assert.Assert(t, follows("a", "b"))
}
