package entry

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// What a VM has measured of a class of calls reaches another VM unchanged.
func TestDemandsReachOtherVMs(t *testing.T) {
	now := time.Unix(1000, 0)
	one, two := newTestLoads(t, "vm-1").router, newTestLoads(t, "vm-2").router
	for range 4 {
		one.Arrived(now, call.Call{Model: "m", Class: "question", PromptTokens: 900})
	}
	demands{two}.receive(now, demands{one}.message(now))
	assert.DeepEqual(t, two.Demands(now), []route.Demand{{Model: "m", Class: "question", Seen: 2, PromptTokens: 900, WorkTokens: 900}})
}
