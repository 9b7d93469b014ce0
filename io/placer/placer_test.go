package placer

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// A lease holder is paused for longer than its lease and another VM takes over. Then
// it resumes, while its renewals fail. If it was paused before its check of the
// clock, it sends no order. If it was paused between that check and the write, it
// sends one: engines that check fencing tokens refuse it, and the others still have
// a copy of each model after it.
func TestPausedLeaseHolder(t *testing.T) {
	tests := []struct {
		name         string
		checksOrders bool
		beforeWrite  bool
	}{
		{"before the check, engines check tokens", true, false},
		{"before the check, engines ignore tokens", false, false},
		{"before the write, engines check tokens", true, true},
		{"before the write, engines ignore tokens", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
				s := newSite(tt.checksOrders)
				var pauseNext atomic.Bool
				wake := make(chan struct{})
				pause := func(enabled bool) func() {
					return func() {
						if enabled && pauseNext.CompareAndSwap(true, false) {
							<-wake
						}
					}
				}
				hooks := withoutHooks(fake.Service())
				var renewalsFail atomic.Bool
				failRenewals(&hooks.service, &renewalsFail)
				hooks.beforeOrder, hooks.afterReports = pause(tt.beforeWrite), pause(!tt.beforeWrite)
				s.start(ctx, "a", hooks)
				time.Sleep(10 * time.Second)
				s.mu.Lock()
				s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Tier: 2, Copies: 1, Megabytes: 1})
				s.mu.Unlock()
				pauseNext.Store(true)
				// The holder is paused at its next order or report, its renewals too.
				time.Sleep(3 * time.Minute)
				s.mu.Lock()
				slices.Reverse(s.replicas) // makes the planner choose other replicas
				s.mu.Unlock()
				s.start(ctx, "b", withoutHooks(fake.Service()))
				time.Sleep(3 * time.Minute)
				before := len(s.orders("a"))
				renewalsFail.Store(true)
				close(wake)
				time.Sleep(5 * time.Second)
				late := s.orders("a")[before:]
				want := 0
				if tt.beforeWrite {
					want = 1
				}
				assert.Equal(t, len(late), want, "%v", late)
				for _, l := range late {
					assert.Equal(t, l.refused, tt.checksOrders)
				}
				time.Sleep(3 * time.Minute)
				assert.Assert(t, !s.wentBelowMinCopies(), "%v", s.all())
				assert.Assert(t, s.copies("plots") >= 1)
				assert.Equal(t, len(s.orders("a")), before+len(late), "a still sends orders")
			})
		})
	}
}

// A new lease holder sends orders to engines that check fencing tokens at once, and
// to the others only after an old lease and the longest order have ended.
func TestTakeOver(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(strconv.FormatBool(checks), func(t *testing.T) {
			runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
				s := newSite(checks)
				begun := time.Now()
				s.start(ctx, "a", withoutHooks(fake.Service()))
				time.Sleep(2 * time.Minute)
				first := s.orders("a")[0].at.Sub(begun)
				if checks {
					assert.Assert(t, first <= 5*time.Second, "%s", first)
				} else {
					assert.Assert(t, first >= defaultTTL+10*time.Second, "%s", first)
				}
				assert.Equal(t, s.copies("plots"), 1)
				assert.Assert(t, s.copies("rules") >= 1)
			})
		})
	}
}

// The platform ends a lease while an order of its holder is in progress. The next
// holder's first order arrives after that order has ended.
func TestTakeOverWaitsForOrder(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(false)
		for i := range s.replicas {
			s.replicas[i].Slots = 2
		}
		hooks := withoutHooks(fake.Service())
		var once sync.Once
		hooks.beforeOrder = func() {
			once.Do(func() {
				fake.LapseLeases()
				s.start(ctx, "b", withoutHooks(fake.Service()))
				time.Sleep(9900 * time.Millisecond)
			})
		}
		s.start(ctx, "a", hooks)
		time.Sleep(5 * time.Minute)
		all := s.all()
		assert.Equal(t, all[0].vm, call.VMID("a"))
		assert.Equal(t, s.copies("plots"), 1)
	})
}

// A late response to a renewal doesn't extend the holder's term beyond the lease: no
// order is sent with the fencing token of an expired lease.
func TestLateRenewal(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		var delayNext, renewalsFail atomic.Bool
		var expiresAt atomic.Int64 // in Unix nanoseconds
		hooks := withoutHooks(fake.Service())
		failRenewals(&hooks.service, &renewalsFail)
		renew := hooks.service.Renew
		hooks.service.Renew = func(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
			ttl, err := renew(ctx, id)
			if delayNext.CompareAndSwap(true, false) {
				expiresAt.Store(time.Now().Add(ttl).UnixNano())
				time.Sleep(time.Minute)
				renewalsFail.Store(true)
			}
			return ttl, err
		}
		s.start(ctx, "a", hooks)
		time.Sleep(20 * time.Second)
		first := s.all()[0].order.FencingToken
		delayNext.Store(true)
		time.Sleep(30 * time.Second)
		s.mu.Lock()
		s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Copies: 1, Megabytes: 1})
		s.mu.Unlock()
		time.Sleep(2 * time.Minute)
		for _, l := range s.all() {
			assert.Assert(t, l.order.FencingToken != first || l.at.UnixNano() < expiresAt.Load(), "%v", l)
		}
		assert.Equal(t, s.copies("ink"), 1)
	})
}

// An order planned in one term isn't sent in the next, where the reports on which it
// was based don't count.
func TestPlanEndsWithTerm(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Copies: 1, Megabytes: 1})
		hooks := withoutHooks(fake.Service())
		var once sync.Once
		hooks.beforeOrder = func() {
			if len(s.all()) == 3 { // the first order after the fencing orders
				once.Do(func() { time.Sleep(2 * time.Minute) })
			}
		}
		s.start(ctx, "a", hooks)
		time.Sleep(4 * time.Minute)
		first := map[int64]string{}
		for _, l := range s.all() {
			if _, ok := first[l.order.FencingToken]; !ok {
				first[l.order.FencingToken] = l.order.Reason
			}
		}
		assert.Equal(t, len(first), 2)
		for _, reason := range first {
			assert.Equal(t, reason, "new fencing token")
		}
	})
}

// Two VMs find the key free, and the replies to both transactions that create it are
// lost. The nonce shows each VM at once whether it created the key, so that exactly
// one of them holds the lease.
func TestLostCreation(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		for _, vm := range []call.VMID{"a", "b"} {
			hooks := withoutHooks(fake.Service())
			get, transact := hooks.service.Get, hooks.service.Transact
			hooks.service.Get = func(ctx context.Context, key string) (kvs.Lookup, error) {
				found, err := get(ctx, key)
				time.Sleep(time.Second)
				return found, err
			}
			hooks.service.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
				if _, err := transact(ctx, txn); err != nil {
					return kvs.TxnResult{}, err
				}
				return kvs.TxnResult{}, errors.Trace(kvs.ErrUnknown)
			}
			s.start(ctx, vm, hooks)
		}
		time.Sleep(10 * time.Second)
		holders := map[call.VMID]bool{}
		for _, l := range s.all() {
			holders[l.vm] = true
		}
		assert.Equal(t, len(holders), 1, "%v", holders)
	})
}

// A lease holder that stops revokes the lease, so that another VM soon takes over.
func TestResign(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		first, stop := context.WithCancel(ctx)
		s.start(first, "a", withoutHooks(fake.Service()))
		time.Sleep(5 * time.Second)
		s.start(ctx, "b", withoutHooks(fake.Service()))
		stop()
		time.Sleep(defaultTTL/pollDivisor + 2*time.Second)
		all := s.all()
		assert.Equal(t, all[len(all)-1].vm, call.VMID("b"))
	})
}

// Only one of several VMs holds the lease although replies to its creation are lost,
// and the VMs that don't hold it make few calls to the platform.
func TestElection(t *testing.T) {
	runInBubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		fake.SetFaults(fakekv.Faults{LoseReplies: 2})
		for i := range 9 {
			s.start(ctx, call.VMID(strconv.Itoa(i)), withoutHooks(fake.Service()))
		}
		time.Sleep(time.Minute)
		before := fake.Counts()
		time.Sleep(time.Minute)
		holders := map[int64]call.VMID{}
		for _, l := range s.all() {
			holders[l.order.FencingToken] = l.vm
		}
		assert.Equal(t, len(holders), 1, "%v", holders)
		after := fake.Counts()
		assert.Assert(t, after.Reads-before.Reads <= 8*4, "%d reads", after.Reads-before.Reads)
		assert.Assert(t, after.Leases-before.Leases <= 7, "%d lease calls", after.Leases-before.Leases)
	})
}

// The platform comes back from a copy without the lease's key, and gives the lease's id to
// the VM that creates the key anew. The former holder's term ends although the renewals of
// that id succeed, and no fencing token has two holders.
func TestRestoreEndsTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{TellsEra: true})
		fake.Save()
		s := newSite(false)
		for i := range s.replicas {
			s.replicas[i].Slots = 2
		}
		s.start(ctx, "a", withoutHooks(fake.Service()))
		time.Sleep(2 * time.Minute)
		fake.Restore()
		s.start(ctx, "b", withoutHooks(fake.Service()))
		time.Sleep(2 * time.Minute)
		before := len(s.orders("a"))
		assert.Assert(t, before > 0)
		s.mu.Lock()
		s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Copies: 1, Megabytes: 1})
		s.mu.Unlock()
		time.Sleep(2 * time.Minute)
		assert.Equal(t, len(s.orders("a")), before, "two VMs send orders")
		assert.Equal(t, s.copies("ink"), 1)
		holders := map[int64]call.VMID{}
		var last int64
		for _, l := range s.all() {
			assert.Assert(t, l.order.FencingToken >= last)
			last = l.order.FencingToken
			if holder, ok := holders[last]; ok {
				assert.Equal(t, l.vm, holder, "token %d", last)
			}
			holders[last] = l.vm
		}
		assert.Equal(t, len(holders), 2)
		cancel()
		synctest.Wait()
	})
}
