package claims

import (
	"context"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

var nonces atomic.Int64

func nonce() string { return strconv.FormatInt(nonces.Add(1), 10) }

// every replaces the timer service in a synctest bubble.
func every(ctx context.Context) func(string, time.Duration, func(time.Time)) func() {
	return func(_ string, interval time.Duration, fn func(time.Time)) func() {
		ticker := time.NewTicker(interval)
		go func() {
			for {
				select {
				case <-ctx.Done():
					return
				case now := <-ticker.C:
					fn(now)
				}
			}
		}()
		return ticker.Stop
	}
}

// startVM runs the Claims of one VM until ctx is done.
func startVM(ctx context.Context, vm call.VMID, svc kvs.Service) *Claims {
	c := New(Config{Service: svc, VM: vm, Nonce: nonce, Every: every(ctx)})
	go func() {
		if err := c.Run(ctx); err != nil {
			panic(err)
		}
	}()
	return c
}

// inBubble runs a test in a synctest bubble with a fake key-value service and the
// Claims of two VMs.
func inBubble(t *testing.T, fn func(t *testing.T, fake *fakekv.Fake, a, b *Claims)) {
	inBubbleWith(t, fakekv.Config{}, fn)
}

func inBubbleWith(t *testing.T, c fakekv.Config, fn func(t *testing.T, fake *fakekv.Fake, a, b *Claims)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(c)
		fn(t, fake, startVM(ctx, "a", fake.Service()), startVM(ctx, "b", fake.Service()))
		cancel()
		synctest.Wait()
	})
}

func begin(t *testing.T, c *Claims, id, key string) *claim.Attempt {
	t.Helper()
	attempt, err := c.Begin(t.Context(), claim.Request{ID: id, Team: "t", Service: "s", Key: key, Fingerprint: 1})
	assert.NilError(t, err)
	return attempt
}

func wantKind(t *testing.T, a *claim.Attempt, want claim.Kind) {
	t.Helper()
	assert.Equal(t, a.Verdict().Kind, want, a.Verdict().Reason)
}

func TestRepeatOnAnotherVM(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, b *Claims) {
		first := begin(t, a, "r1", "k")
		wantKind(t, first, claim.KindRun)
		wantKind(t, begin(t, b, "r2", "k"), claim.KindInProgress)
		assert.NilError(t, first.MarkSent(time.Now()))
		assert.ErrorIs(t, a.Release(t.Context(), first), claim.ErrNotHeld)
		outcome := claim.Outcome{Status: 201, Body: []byte("plot 4")}
		assert.NilError(t, a.Finish(t.Context(), first, outcome))
		again := begin(t, b, "r3", "k")
		wantKind(t, again, claim.KindReplay)
		assert.DeepEqual(t, again.Verdict().Outcome, outcome)
		other, err := b.Begin(t.Context(), claim.Request{ID: "r4", Team: "t", Service: "s", Key: "k", Fingerprint: 2})
		assert.NilError(t, err)
		wantKind(t, other, claim.KindConflict)
	})
}

func TestReleasedKeyIsFree(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, b *Claims) {
		first := begin(t, a, "r1", "k")
		assert.NilError(t, first.MarkSent(time.Now()))
		assert.NilError(t, first.MarkUnsent())
		assert.NilError(t, a.Release(t.Context(), first))
		wantKind(t, begin(t, b, "r2", "k"), claim.KindRun)
		assert.ErrorIs(t, first.MarkSent(time.Now()), claim.ErrNotHeld)
	})
}

// The holder of a claim pauses between the claim and the send for longer than any
// lease of a VM. No other attempt gets the key meanwhile. After the pause the holder
// may send once, unless the claim has become too old.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		name  string
		pause time.Duration
		want  error
	}{
		{"an hour", time.Hour, nil},
		{"half a day", 12 * time.Hour, nil},
		{"too long", 13 * time.Hour, claim.ErrExpired},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, b *Claims) {
				holder := begin(t, a, "r1", "k")
				time.Sleep(tt.pause)
				wantKind(t, begin(t, b, "r2", "k"), claim.KindInProgress)
				assert.ErrorIs(t, holder.MarkSent(time.Now()), tt.want)
				assert.Assert(t, holder.MarkSent(time.Now()) != nil, "a second send")
				wantKind(t, begin(t, b, "r3", "k"), claim.KindInProgress)
			})
		})
	}
}

// Records exist for at least the retention, although leases are never renewed, and
// not much longer.
func TestRetention(t *testing.T) {
	inBubble(t, func(t *testing.T, fake *fakekv.Fake, a, b *Claims) {
		early := begin(t, a, "r1", "early")
		time.Sleep(6*time.Hour - time.Minute)
		late := begin(t, a, "r2", "late")
		wantKind(t, early, claim.KindRun)
		wantKind(t, late, claim.KindRun)
		assert.Equal(t, fake.Counts().Leases, 1)
		time.Sleep(24 * time.Hour)
		wantKind(t, begin(t, b, "r3", "late"), claim.KindInProgress)
		time.Sleep(time.Hour)
		wantKind(t, begin(t, b, "r4", "late"), claim.KindRun)
	})
}

// A request's own retention is used, but raised to MinRetention if it is shorter.
func TestRequestRetention(t *testing.T) {
	tests := []struct{ requested, want time.Duration }{
		{2 * time.Hour, 2 * time.Hour}, {time.Minute, MinRetention}, {0, defaultRetention},
	}
	for _, tt := range tests {
		t.Run(tt.requested.String(), func(t *testing.T) {
			inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, b *Claims) {
				req := claim.Request{ID: "r", Team: "t", Service: "s", Key: "k", Retention: tt.requested}
				for _, c := range []*Claims{a, b} {
					begun, err := c.Begin(t.Context(), req)
					assert.NilError(t, err)
					wantKind(t, begun, claim.KindRun)
					time.Sleep(tt.want - time.Minute)
					again, err := b.Begin(t.Context(), req)
					assert.NilError(t, err)
					wantKind(t, again, claim.KindInProgress)
					time.Sleep(tt.want/leaseUseDivisor + 2*time.Minute)
				}
			})
		})
	}
}

func TestLostReply(t *testing.T) {
	faults := map[string]fakekv.Faults{
		"reply": {LoseReplies: 1}, "request": {LoseRequests: 1}, "both": {LoseRequests: 1, LoseReplies: 1},
	}
	for name, lost := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, fake *fakekv.Fake, a, b *Claims) {
				wantKind(t, begin(t, a, "r0", "other"), claim.KindRun)
				fake.SetFaults(lost)
				first := begin(t, a, "r1", "k")
				wantKind(t, first, claim.KindRun)
				assert.NilError(t, first.MarkSent(time.Now()))
				fake.SetFaults(lost)
				assert.Assert(t, a.Finish(t.Context(), first, claim.Outcome{Status: 200}) != nil)
				time.Sleep(3 * time.Second)
				assert.Equal(t, a.BackgroundWrites(), 0)
				wantKind(t, begin(t, b, "r2", "k"), claim.KindReplay)
			})
		})
	}
}

// While the platform is down, a call is refused as not run, at once if the outage is
// known already. The key is free once the platform is back.
func TestOutage(t *testing.T) {
	faults := map[string]struct {
		fault fakekv.Faults
		limit time.Duration // on the time of the first refusal
	}{
		"refuses": {fakekv.Faults{Outage: true}, 0},
		"hangs":   {fakekv.Faults{Delay: time.Hour}, defaultTimeout},
		"loses":   {fakekv.Faults{LoseReplies: 3}, time.Second},
	}
	for name, tt := range faults {
		t.Run(name, func(t *testing.T) {
			inBubble(t, func(t *testing.T, fake *fakekv.Fake, a, b *Claims) {
				wantKind(t, begin(t, a, "r0", "other"), claim.KindRun)
				time.Sleep(time.Second)
				fake.SetFaults(tt.fault)
				start := time.Now()
				first := begin(t, a, "r1", "k")
				wantKind(t, first, claim.KindRefused)
				assert.Equal(t, first.Verdict().CallerOutcome(), call.OutcomeNotRun)
				assert.Assert(t, time.Since(start) <= tt.limit, "%s", time.Since(start))
				start = time.Now()
				wantKind(t, begin(t, a, "r2", "k"), claim.KindRefused)
				assert.Equal(t, time.Since(start), time.Duration(0))
				passed, err := a.Begin(t.Context(), claim.Request{ID: "r3", Team: "t", Service: "s", Key: "k", ServiceDeduplicates: true})
				assert.NilError(t, err)
				wantKind(t, passed, claim.KindPassOn)
				fake.SetFaults(fakekv.Faults{})
				time.Sleep(10 * time.Second)
				assert.Equal(t, a.BackgroundWrites(), 0)
				assert.ErrorIs(t, first.MarkSent(time.Now()), claim.ErrNotHeld)
				wantKind(t, begin(t, b, "r4", "k"), claim.KindRun)
			})
		})
	}
}

// makeTxn makes a transaction, so that writes made directly afterwards wait
// together for the next one.
func makeTxn(t *testing.T, c *Claims) {
	t.Helper()
	wantKind(t, begin(t, c, "r", "first"), claim.KindRun)
	synctest.Wait()
}

// A finish is recorded even if it shares a transaction with a claim that is refused.
func TestFinishSharesTxnWithRefusedClaim(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, b *Claims) {
		wantKind(t, begin(t, b, "r", "taken"), claim.KindRun)
		held := begin(t, a, "r1", "k")
		assert.NilError(t, held.MarkSent(time.Now()))
		synctest.Wait()
		refused := make(chan claim.Kind, 1)
		go func() { refused <- begin(t, a, "r2", "taken").Verdict().Kind }()
		assert.NilError(t, a.Finish(t.Context(), held, claim.Outcome{Status: 200}))
		assert.Equal(t, <-refused, claim.KindInProgress)
		wantKind(t, begin(t, b, "r3", "k"), claim.KindReplay)
	})
}

// Concurrent claims share transactions. One whose key another VM holds doesn't make
// the others fail.
func TestSharedTxns(t *testing.T) {
	inBubble(t, func(t *testing.T, fake *fakekv.Fake, a, b *Claims) {
		wantKind(t, begin(t, b, "r", "7"), claim.KindRun)
		makeTxn(t, a)
		before := fake.Counts().Txns
		kinds := make(chan claim.Kind, 50)
		for i := range 50 {
			go func() { kinds <- begin(t, a, "r"+strconv.Itoa(i), strconv.Itoa(i)).Verdict().Kind }()
		}
		got := map[claim.Kind]int{}
		for range 50 {
			got[<-kinds]++
		}
		assert.DeepEqual(t, got, map[claim.Kind]int{claim.KindRun: 49, claim.KindInProgress: 1})
		txns := fake.Counts().Txns - before
		assert.Assert(t, txns <= 5, "%d transactions", txns)
	})
}

// One of 330 VMs stays within its share of MaxRate, however many claims it makes,
// since claims share transactions.
func TestRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{})
		c := New(Config{
			Service: fake.Service(), VM: "a", Nonce: nonce, Every: every(ctx), VMs: func() int { return 330 },
		})
		go func() { assert.Check(t, c.Run(ctx)) }()
		var all sync.WaitGroup
		for i := range 200 {
			all.Go(func() { wantKind(t, begin(t, c, "r", strconv.Itoa(i)), claim.KindRun) })
			time.Sleep(50 * time.Millisecond)
		}
		all.Wait()
		// Ten seconds of claims, with one transaction per 1.1 s after the burst.
		assert.Assert(t, fake.Counts().Txns <= 11+burst, "%d transactions", fake.Counts().Txns)
		cancel()
		synctest.Wait()
	})
}

// A lease that the service no longer knows is replaced.
func TestExpiredLease(t *testing.T) {
	inBubble(t, func(t *testing.T, fake *fakekv.Fake, a, _ *Claims) {
		wantKind(t, begin(t, a, "r1", "1"), claim.KindRun)
		fake.LapseLeases()
		wantKind(t, begin(t, a, "r2", "2"), claim.KindRun)
	})
}

// Concurrent requests with the same key on one VM are written in separate
// transactions, and only one gets the claim.
func TestConcurrentSameKey(t *testing.T) {
	inBubble(t, func(t *testing.T, _ *fakekv.Fake, a, _ *Claims) {
		makeTxn(t, a)
		kinds := make(chan claim.Kind, 3)
		for i := range 3 {
			go func() { kinds <- begin(t, a, "r"+strconv.Itoa(i), "k").Verdict().Kind }()
		}
		got := map[claim.Kind]int{}
		for range 3 {
			got[<-kinds]++
		}
		assert.DeepEqual(t, got, map[claim.Kind]int{claim.KindRun: 1, claim.KindInProgress: 2})
	})
}
