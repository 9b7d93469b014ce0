package claims

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/claim"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// The platform comes back from a copy that lacks a call which was run, or is running, and
// its lease. While the VM that knows the record is in touch, no other VM runs the call
// again: neither one that has seen the era before, nor one that starts afterwards, nor one
// whose repeat is the first to notice the restore. A call that the VM could not send stays
// free.
func TestRestoreRunsNothingAgain(t *testing.T) {
	for name, c := range map[string]struct {
		// state is that of the call when the platform comes back; it ends afterwards.
		state claim.State
		// wait is how long after the restore the repeat comes.
		wait time.Duration
		late bool
		want claim.Kind
	}{
		"finished":                    {claim.StateFinished, time.Minute, false, claim.KindReplay},
		"finished, repeat at once":    {claim.StateFinished, 0, false, claim.KindRefused},
		"finished, VM starts later":   {claim.StateFinished, time.Minute, true, claim.KindReplay},
		"finished, VM starts at once": {claim.StateFinished, 0, true, claim.KindRefused},
		"running":                     {claim.StateClaimed, time.Minute, false, claim.KindReplay},
		"running, repeat at once":     {claim.StateClaimed, 0, false, claim.KindRefused},
		"not sent and released":       {claim.StateReleased, time.Minute, false, claim.KindRun},
		"not sent, VM starts later":   {claim.StateReleased, time.Minute, true, claim.KindRun},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				ctx, cancel := context.WithCancel(t.Context())
				fake := fakekv.New(fakekv.Config{TellsEra: true})
				a := startVM(ctx, "a", fake.Service())
				var b *Claims
				if !c.late {
					b = startVM(ctx, "b", fake.Service())
					wantKind(t, begin(t, b, "other", "other"), claim.KindRun)
				}
				time.Sleep(time.Second)
				fake.Save()
				first := begin(t, a, "r1", "k")
				wantKind(t, first, claim.KindRun)
				outcome := claim.Outcome{Status: 201, Body: []byte("plot 4")}
				if c.state != claim.StateReleased {
					assert.NilError(t, first.MarkSent(time.Now()))
				}
				if c.state == claim.StateFinished {
					assert.NilError(t, a.Finish(t.Context(), first, outcome))
				}
				fake.Restore()
				if c.late {
					b = startVM(ctx, "b", fake.Service())
				}
				if c.wait == 0 {
					wantKind(t, begin(t, b, "r2", "k"), c.want)
				}
				switch c.state {
				case claim.StateClaimed:
					assert.NilError(t, a.Finish(t.Context(), first, outcome))
				case claim.StateReleased:
					assert.NilError(t, a.Release(t.Context(), first))
				}
				time.Sleep(time.Minute)
				want := c.want
				if c.wait == 0 {
					want = claim.KindReplay
				}
				again := begin(t, b, "r3", "k")
				wantKind(t, again, want)
				if want == claim.KindReplay {
					assert.DeepEqual(t, again.Verdict().Outcome, outcome)
					// The record has a lease of its own, which lasts for the retention.
					time.Sleep(defaultRetention - 2*time.Minute)
					wantKind(t, begin(t, b, "r4", "k"), claim.KindReplay)
				}
				cancel()
				synctest.Wait()
			})
		})
	}
}

// A record that is written again gets a new lease: the id of the one before may belong to
// another writer, who asked for a shorter time.
func TestRestoredRecordHasItsOwnLease(t *testing.T) {
	inBubbleWith(t, fakekv.Config{TellsEra: true}, func(t *testing.T, fake *fakekv.Fake, a, b *Claims) {
		fake.Save()
		first := begin(t, a, "r1", "k")
		assert.NilError(t, first.MarkSent(time.Now()))
		assert.NilError(t, a.Finish(t.Context(), first, claim.Outcome{Status: 201}))
		fake.Restore()
		_, err := fake.Service().Grant(t.Context(), 10*time.Second)
		assert.NilError(t, err)
		time.Sleep(time.Minute)
		wantKind(t, begin(t, b, "r2", "k"), claim.KindReplay)
	})
}

// A claim that is written again while its call ends does not replace the end.
func TestEndOfCallIsKept(t *testing.T) {
	k := newKept(Config{}.Defaults())
	req := claim.Request{ID: "r1", Team: "t", Service: "s", Key: "k"}
	k.keep(req, claim.Record{State: claim.StateFinished, Nonce: "1"}, 0)
	k.observe(kvs.MakeRevision(1, 1))
	k.keep(req, claim.Record{State: claim.StateClaimed, Nonce: "1"}, 1)
	lost := k.lost()
	assert.Equal(t, len(lost), 1)
	assert.Equal(t, lost[0].record.State, claim.StateFinished)
}
