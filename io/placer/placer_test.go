package placer

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// A holder is paused in the midst of its work for longer than its lease, and
// another takes over. Awake, and cut off from the platform, it gives no order where it looks at the clock
// before; between the look and the write one order leaves, which engines that
// check numbers refuse and after which those that don't keep a copy.
func TestPausedHolder(t *testing.T) {
	tests := []struct {
		name   string
		checks bool
		inside bool
	}{
		{"before the look, checking engines", true, false},
		{"before the look, ignoring engines", false, false},
		{"before the write, checking engines", true, true},
		{"before the write, ignoring engines", false, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
				s := newSite(tt.checks)
				var paused atomic.Bool
				wake := make(chan struct{})
				pause := func(here bool) func() {
					return func() {
						if here && paused.CompareAndSwap(true, false) {
							<-wake
						}
					}
				}
				a := free(fake.Service())
				var cut atomic.Bool
				cutOff(&a.service, &cut)
				a.order, a.reports = pause(tt.inside), pause(!tt.inside)
				s.start(ctx, "a", a)
				time.Sleep(10 * time.Second)
				s.mu.Lock()
				s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Tier: 2, Copies: 1, Megabytes: 1})
				s.mu.Unlock()
				paused.Store(true)
				// Pauses the holder at its next order or report, its renewals included.
				time.Sleep(3 * time.Minute)
				s.mu.Lock()
				slices.Reverse(s.replicas) // another list order, other choices
				s.mu.Unlock()
				s.start(ctx, "b", free(fake.Service()))
				time.Sleep(3 * time.Minute)
				before := len(s.orders("a"))
				cut.Store(true)
				close(wake)
				time.Sleep(5 * time.Second)
				late := s.orders("a")[before:]
				want := 0
				if tt.inside {
					want = 1
				}
				assert.Equal(t, len(late), want, "%v", late)
				for _, l := range late {
					assert.Equal(t, l.refused, tt.checks)
				}
				time.Sleep(3 * time.Minute)
				assert.Assert(t, !s.wasDrained(), "%v", s.all())
				assert.Assert(t, s.copies("plots") >= 1)
				assert.Equal(t, len(s.orders("a")), before+len(late), "a goes on ordering")
			})
		})
	}
}

// A new holder orders engines that ignore numbers only after the old lease and
// the longest order have ended, others at once.
func TestTakeOver(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(strconv.FormatBool(checks), func(t *testing.T) {
			bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
				s := newSite(checks)
				begun := time.Now()
				s.start(ctx, "a", free(fake.Service()))
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

// The platform ends a lease while its holder's order is under way. The next
// holder's first order comes after that one's end.
func TestTakeOverWaitsForOrder(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(false)
		for i := range s.replicas {
			s.replicas[i].Slots = 2
		}
		at := free(fake.Service())
		var once sync.Once
		at.order = func() {
			once.Do(func() {
				fake.LapseLeases()
				s.start(ctx, "b", free(fake.Service()))
				time.Sleep(9900 * time.Millisecond)
			})
		}
		s.start(ctx, "a", at)
		time.Sleep(5 * time.Minute)
		all := s.all()
		assert.Equal(t, all[0].vm, call.VMID("a"))
		assert.Equal(t, s.copies("plots"), 1)
	})
}

// A renewal's answer that comes late doesn't lengthen the holder's belief: no
// order carries a number whose lease has lapsed.
func TestLateRenewal(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		var slow, cut atomic.Bool
		var lapsed atomic.Int64 // in Unix nanoseconds
		at := free(fake.Service())
		cutOff(&at.service, &cut)
		renew := at.service.Renew
		at.service.Renew = func(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
			ttl, err := renew(ctx, id)
			if slow.CompareAndSwap(true, false) {
				lapsed.Store(time.Now().Add(ttl).UnixNano())
				time.Sleep(time.Minute)
				cut.Store(true)
			}
			return ttl, err
		}
		s.start(ctx, "a", at)
		time.Sleep(20 * time.Second)
		first := s.all()[0].order.FencingToken
		slow.Store(true)
		time.Sleep(30 * time.Second)
		s.mu.Lock()
		s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Copies: 1, Megabytes: 1})
		s.mu.Unlock()
		time.Sleep(2 * time.Minute)
		for _, l := range s.all() {
			assert.Assert(t, l.order.FencingToken != first || l.at.UnixNano() < lapsed.Load(), "%v", l)
		}
		assert.Equal(t, s.copies("ink"), 1)
	})
}

// What was planned in one tenure isn't ordered in the next, in which the reports
// that it was planned by don't count.
func TestPlanEndsWithTenure(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		s.needs = append(s.needs, place.Need{Artifact: place.Artifact{Model: "ink"}, Copies: 1, Megabytes: 1})
		at := free(fake.Service())
		var once sync.Once
		at.order = func() {
			if len(s.all()) == 3 { // the first after the fencing ones
				once.Do(func() { time.Sleep(2 * time.Minute) })
			}
		}
		s.start(ctx, "a", at)
		time.Sleep(4 * time.Minute)
		first := map[int64]string{}
		for _, l := range s.all() {
			if _, ok := first[l.order.FencingToken]; !ok {
				first[l.order.FencingToken] = l.order.Reason
			}
		}
		assert.Equal(t, len(first), 2)
		for _, reason := range first {
			assert.Equal(t, reason, "new fencing number")
		}
	})
}

// Lost replies to the key's creation are settled at once, by the nonce: of two
// VMs that find the key free, one holds the lease.
func TestLostCreation(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		for _, vm := range []call.VMID{"a", "b"} {
			at := free(fake.Service())
			get, transact := at.service.Get, at.service.Transact
			at.service.Get = func(ctx context.Context, key string) (kvs.Lookup, error) {
				found, err := get(ctx, key)
				time.Sleep(time.Second)
				return found, err
			}
			at.service.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
				if _, err := transact(ctx, txn); err != nil {
					return kvs.TxnResult{}, err
				}
				return kvs.TxnResult{}, errors.Trace(kvs.ErrUnknown)
			}
			s.start(ctx, vm, at)
		}
		time.Sleep(10 * time.Second)
		holders := map[call.VMID]bool{}
		for _, l := range s.all() {
			holders[l.vm] = true
		}
		assert.Equal(t, len(holders), 1, "%v", holders)
	})
}

// A holder that stops gives the lease back.
func TestResign(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		first, stop := context.WithCancel(ctx)
		s.start(first, "a", free(fake.Service()))
		time.Sleep(5 * time.Second)
		s.start(ctx, "b", free(fake.Service()))
		stop()
		time.Sleep(defaultTTL/pollShare + 2*time.Second)
		all := s.all()
		assert.Equal(t, all[len(all)-1].vm, call.VMID("b"))
	})
}

// Only one of several VMs holds the lease, although replies of its creation are
// lost, and the standing-by ones cost the platform little.
func TestElection(t *testing.T) {
	bubble(t, func(t *testing.T, ctx context.Context, fake *fakekv.Fake) {
		s := newSite(true)
		fake.SetFaults(fakekv.Faults{LoseReplies: 2})
		for i := range 9 {
			s.start(ctx, call.VMID(strconv.Itoa(i)), free(fake.Service()))
		}
		time.Sleep(time.Minute)
		before := fake.Counts()
		time.Sleep(time.Minute)
		numbers := map[int64]call.VMID{}
		for _, l := range s.all() {
			numbers[l.order.FencingToken] = l.vm
		}
		assert.Equal(t, len(numbers), 1, "%v", numbers)
		after := fake.Counts()
		assert.Assert(t, after.Reads-before.Reads <= 8*4, "%d reads", after.Reads-before.Reads)
		assert.Assert(t, after.Leases-before.Leases <= 7, "%d lease calls", after.Leases-before.Leases)
	})
}
