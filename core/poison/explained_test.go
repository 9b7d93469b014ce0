package poison

import (
	"fmt"
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
)

// crashes is a registry of requests and one of parts, with the crashes that both see.
type crashes struct {
	requests, parts *Registry
}

func newCrashes(t assert.TestingT) *crashes {
	requests := newRegistry(t, refusing)
	c := partConfig
	c.Self, c.Requests = "e1", requests.Suspects
	return &crashes{requests: requests, parts: newRegistry(t, c)}
}

// lost records that a request with parts was lost in a crash.
func (c *crashes) lost(lost run, request Fingerprint, parts ...Fingerprint) {
	c.requests.CrashedRun(ms(lost.lost), request, lost.crash())
	for _, part := range parts {
		c.parts.CrashedRun(ms(lost.lost), part, lost.crash())
	}
}

// A request that was sent again until it was refused by itself explained the crashes of its own
// parts, and each further request with the crashing part crashed three replicas more (issue 28).
func TestRefusedRequestIsNoExcuseForItsParts(t *testing.T) {
	const sound, bad, first, second Fingerprint = 1, 2, 11, 12
	c := newCrashes(t)
	for i, replica := range []call.ReplicaID{"a", "b", "c"} {
		c.lost(run{replica, 200 * i, 200*i + 100}, first, sound, bad)
	}
	assert.Equal(t, c.requests.Judge(ms(600), first).Action, ActionRefuse)
	assert.Assert(t, !refuses(c.parts, 600, sound, bad), "the request itself or one of its parts may be the cause")
	c.lost(run{"d", 700, 800}, second, sound, bad)
	assert.Assert(t, refuses(c.parts, 900, sound, bad))
	assert.Assert(t, !refuses(c.parts, 900, sound, 3), "it may be the other part")
	c.parts.Finished(ms(1000), sound)
	assert.Assert(t, refuses(c.parts, 1100, sound, bad))
	assert.Assert(t, !refuses(c.parts, 1100, sound))
}

// Sound parts were refused if the crash of a request that crashes replicas by itself came before
// those of a crashing part that they were in flight with.
func TestRefusedRequestExplainsAnEarlierCrash(t *testing.T) {
	const sound, bad, guilty Fingerprint = 1, 2, 11
	c := newCrashes(t)
	lost := run{"a", 0, 100}
	c.lost(lost, guilty)
	c.lost(lost, 12, sound)
	c.lost(run{"b", 200, 300}, 13, sound, bad)
	c.lost(run{"c", 400, 500}, 14, sound, bad)
	assert.Assert(t, refuses(c.parts, 600, sound))
	c.lost(run{"d", 600, 700}, guilty)
	c.lost(run{"e", 800, 900}, guilty)
	assert.Assert(t, !refuses(c.parts, 1000, sound))
	c.lost(run{"f", 1100, 1200}, 15, sound, bad)
	assert.Assert(t, refuses(c.parts, 1300, sound, bad))
	assert.Assert(t, !refuses(c.parts, 1300, sound))
}

// A part that crashed a replica without the refused one was let through, if that one had crashed
// another replica without it.
func TestPartThatCrashesWithoutTheOtherIsRefused(t *testing.T) {
	const first, second Fingerprint = 1, 2
	c := newCrashes(t)
	c.lost(run{"a", 0, 100}, 11, first, second)
	c.lost(run{"b", 200, 300}, 12, first, second)
	c.lost(run{"c", 400, 500}, 13, first)
	assert.Assert(t, refuses(c.parts, 600, first))
	c.lost(run{"d", 600, 700}, 14, second)
	assert.Assert(t, refuses(c.parts, 800, second))
}

// Sound requests that were in flight at three crashes of a part explained these, and the part
// was let through again and again (issue 28).
func TestBystandersAreNoExcuseForAPart(t *testing.T) {
	const bad Fingerprint = 1
	c := newCrashes(t)
	extra := 0
	for i := range 12 {
		now := 200 * i
		if i >= 5 && !refuses(c.parts, now, bad) {
			extra++
		} else if i >= 5 {
			continue
		}
		lost := run{call.ReplicaID(fmt.Sprint("r", i)), now, now + 100}
		c.lost(lost, Fingerprint(100+i), bad)
		// Each bystander was sent to three replicas, which crashed one after the other.
		for bystander := i; bystander < i+3; bystander++ {
			c.lost(lost, Fingerprint(200+bystander))
		}
	}
	assert.Assert(t, extra <= 1, "%d requests ran after five crashes", extra)
}

// Many requests with a part on one replica pushed the crashes of other replicas out of the
// record: a VM keeps a limited number of crashes for a part.
func TestManyRunsOnOneReplicaCountAsOneCrash(t *testing.T) {
	r := newPartRegistry(t, "e1")
	for i, replica := range []call.ReplicaID{"a", "b", "c"} {
		for n := range 2 * maxCrashes {
			lost := run{replica, 1000*i + n, 1000*i + 500 + n}
			r.CrashedRun(ms(lost.lost), 1, lost.crash())
		}
	}
	assert.Equal(t, r.Judge(ms(4000), 1).Reason, ReasonCrashedOften)
	assert.Assert(t, refuses(r, 4000, 1))
}
