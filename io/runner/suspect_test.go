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

// A suspect request runs alone on a replica. The other VMs get a reservation for it before
// the run and its end afterwards. After a crash while it ran alone the request is refused
// and reported as not run.
func TestSuspect(t *testing.T) {
	f := newFixture(t, func(context.Context, back.Target, func(back.Event) error) back.Result { return completeResult(200) })
	var reservations []poison.Reservation
	f.c.Reserve = func(_ time.Time, r poison.Reservation) { reservations = append(reservations, r) }
	crashed := func(id call.ReplicaID, alone bool) { f.c.Poison.Crashed(time.Now(), 7, id, alone) }
	crashed("x", false)
	crashed("y", false)
	suspect := job("1", 0, true)
	suspect.Call.Fingerprint = 7
	got := f.Run(t.Context(), suspect, (&recorder{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeRan)
	assert.DeepEqual(t, reservations, []poison.Reservation{
		{Replica: f.sent[0], For: reservationTime}, {Replica: f.sent[0]},
	})

	crashed("z", true)
	got = f.Run(t.Context(), suspect, (&recorder{}).sink())
	assert.Equal(t, got.Outcome, call.OutcomeNotRun)
	assert.Equal(t, got.Reason, ReasonSuspect)
	assert.Equal(t, got.RetryAfter, time.Duration(0))
	assert.Equal(t, len(f.sent), 1)
}
