package runner

import (
	"context"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/io/back"
)

// A suspect runs alone on a replica that the other VMs are told to leave free,
// and told when it is over; a convicted request is refused as not run.
func TestSuspect(t *testing.T) {
	b := newBench(t, func(context.Context, back.Target, func(back.Event) error) back.Result { return whole(200) })
	var told []poison.Reservation
	b.c.Reserve = func(_ time.Time, r poison.Reservation) { told = append(told, r) }
	crashed := func(id call.ReplicaID, alone bool) { b.c.Poison.Crashed(time.Now(), 7, id, alone) }
	crashed("x", false)
	crashed("y", false)
	suspect := job("1", 0, true)
	suspect.Call.Fingerprint = 7
	got := b.Run(t.Context(), suspect, (&collect{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeRan)
	assert.DeepEqual(t, told, []poison.Reservation{
		{Replica: b.sent[0], For: reservationTime}, {Replica: b.sent[0]},
	})

	crashed("z", true)
	got = b.Run(t.Context(), suspect, (&collect{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Equal(t, got.Reason, ReasonSuspect)
	assert.Equal(t, got.RetryAfter, time.Duration(0))
	assert.Equal(t, len(b.sent), 1)
}
