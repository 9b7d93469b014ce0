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
		pairs      int
	}{
		{"no data", "", Prefix{}, 0},
		{"incomplete event", "id: 1\ndata: x\n", Prefix{}, 0},
		{"one event", "id: 1\ndata: x\n\n", Prefix{Bytes: 15, Events: 1, LastID: "1"}, 0},
		{"one event and an incomplete one", "id: 1\ndata: x\n\nid: 2\nda", Prefix{Bytes: 15, Events: 1, LastID: "1"}, 0},
		{"two events", "id:1\n\nid:2\r\n\r\n", Prefix{Bytes: 14, Events: 2, LastID: "2"}, 1},
		{"header line first", "weights: 3\nid: 4\ndata: y\n\n", Prefix{Bytes: 26, Events: 1, LastID: "4"}, 0},
		{"no id", "data: x\n\n", Prefix{Bytes: 9, Events: 1, EndsWithoutID: true}, 0},
		{"id, then none", "id: 1\n\ndata: x\n\n: y\n\n", Prefix{Bytes: 21, Events: 2, LastID: "1", EndsWithoutID: true}, 0},
		{"no id, then one", "data: x\n\nid: 1\n\n", Prefix{Bytes: 16, Events: 2, LastID: "1"}, 0},
		{"repeated id", "id: 1\n\nid: 2\n\nid: 2\n\nid: 3\n\n", Prefix{Bytes: 14, Events: 2, LastID: "2", OutOfOrder: true}, 1},
		{"empty lines", "\n\n", Prefix{Bytes: 2}, 0},
		{"comment", ": busy\n\n", Prefix{Bytes: 8}, 0},
		{"event with a comment", ": busy\nid: 1\n\n", Prefix{Bytes: 14, Events: 1, LastID: "1"}, 0},
	} {
		got := Scan([]byte(test.data), Order{})
		assert.Equal(t, got.Steps+got.Gaps, test.pairs, test.name)
		got.Steps, got.Gaps = 0, 0
		assert.Equal(t, got, test.want, test.name)
	}
}

// A run that goes on after an event begins with the next one.
func TestScanResumed(t *testing.T) {
	for _, test := range []struct {
		name, data string
		dense      bool
		events     int
	}{
		{"next event", "id: 4\ndata: x\n\nid: 5\n\n", true, 2},
		{"a comment before it", ": busy\n\nid: 4\n\n", true, 1},
		{"the head of a failure", "HTTP/1.1 500 Internal Server Error\r\nContent-Type: text/plain\r\n\r\nfailed", true, 0},
		{"no id", "data: x\n\nid: 4\n\n", false, 0},
		{"from the beginning", "id: 1\n\nid: 2\n\n", false, 0},
		{"an event is missing", "id: 5\n\n", true, 0},
		{"ids with gaps", "id: 5\n\n", false, 1},
		{"an event is missing later", "id: 4\n\nid: 6\n\n", true, 1},
		{"an event without an id later", "id: 4\n\ndata: x\n\n", true, 2},
		{"ids that are no numbers", "id: b\ndata: x\n\n", true, 1},
	} {
		got := Scan([]byte(test.data), Order{Last: "3", Resumed: true, Dense: test.dense})
		got.Events = min(got.Events, 2)
		assert.Equal(t, got.OutOfOrder, test.events == 0 || test.name == "an event is missing later", test.name)
		assert.Assert(t, got.Events <= test.events, "%s: %+v", test.name, got)
	}
}

func TestFollows(t *testing.T) {
	assert.Assert(t, follows("9", "10", true))
	assert.Assert(t, follows("9", "11", false))
	assert.Assert(t, !follows("9", "11", true))
	assert.Assert(t, !follows("10", "10", false))
	assert.Assert(t, !follows("10", "9", false))
	assert.Assert(t, follows("", "1", true))
	assert.Assert(t, follows("a", "b", true))
}
