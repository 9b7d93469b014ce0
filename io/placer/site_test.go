package placer

import (
	"context"
	"io"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

func TestMain(m *testing.M) {
	logrus.SetOutput(io.Discard)
	if os.Getenv(envVM) != "" {
		if err := runVM(); err != nil {
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// receivedOrder is an order that arrived at an engine.
type receivedOrder struct {
	vm      call.VMID
	order   Order
	at      time.Time
	refused bool
}

// fakeSite is a set of engines that record the orders they receive.
type fakeSite struct {
	mu           sync.Mutex
	replicas     place.Replicas
	needs        place.Needs
	highestToken map[call.ReplicaID]int64
	log          []receivedOrder
	// belowMinCopies is true once an unload order has removed a model's last copy.
	belowMinCopies bool
	// toStop is the process that stopMidPlan is to stop; it then closes stopped.
	toStop  atomic.Pointer[os.Process]
	stopped chan struct{}
}

func (s *fakeSite) reports() place.Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.replicas)
	for i := range out {
		out[i].Loaded = slices.Clone(out[i].Loaded)
		out[i].Reported = time.Now()
	}
	return out
}

// apply carries out an order, or refuses it if the engine checks fencing tokens and
// has seen a newer one.
func (s *fakeSite) apply(vm call.VMID, o Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.replicas, func(r place.Replica) bool { return r.ID == o.Replica })
	r := &s.replicas[i]
	refused := r.ChecksOrders && o.FencingToken < s.highestToken[r.ID]
	s.log = append(s.log, receivedOrder{vm, o, time.Now(), refused})
	if refused {
		return errors.Trace(ErrRefused)
	}
	s.highestToken[r.ID] = o.FencingToken
	loadedIndex := slices.Index(r.Loaded, o.Artifact)
	if o.Action == place.ActionUnload && loadedIndex >= 0 {
		r.Loaded = slices.Delete(r.Loaded, loadedIndex, loadedIndex+1)
		s.belowMinCopies = s.belowMinCopies || s.countCopies(o.Artifact.Model) == 0
	}
	if o.Action == place.ActionLoad && loadedIndex < 0 {
		r.Loaded = append(r.Loaded, o.Artifact)
	}
	return nil
}

func (s *fakeSite) wentBelowMinCopies() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.belowMinCopies
}

// all returns all orders received so far.
func (s *fakeSite) all() []receivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// orders returns the VM's orders without the fencing orders.
func (s *fakeSite) orders(vm call.VMID) []receivedOrder {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []receivedOrder
	for _, t := range s.log {
		if t.vm == vm && t.order.Reason != "new fencing token" {
			out = append(out, t)
		}
	}
	return out
}

func (s *fakeSite) copies(m call.Model) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.countCopies(m)
}

func (s *fakeSite) countCopies(m call.Model) int {
	n := 0
	for _, r := range s.replicas {
		if slices.Contains(r.Loaded, place.Artifact{Model: m}) {
			n++
		}
	}
	return n
}

var nonces atomic.Int64

// vmHooks are the calls of a VM in which a test can pause it or inject faults.
type vmHooks struct {
	beforeOrder  func()
	afterReports func()
	service      kvs.Service
}

// every is a timer service for tests in a synctest bubble.
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

func (s *fakeSite) start(ctx context.Context, vm call.VMID, hooks vmHooks) {
	p := New(Config{
		Service: hooks.service, VM: vm, Nonce: func() string { return strconv.FormatInt(nonces.Add(1), 10) },
		Every: every(ctx), Needs: func() place.Needs { s.mu.Lock(); defer s.mu.Unlock(); return slices.Clone(s.needs) },
		Replicas: func() place.Replicas {
			out := s.reports()
			hooks.afterReports()
			return out
		},
		SendOrder: func(_ context.Context, o Order) error {
			hooks.beforeOrder()
			return s.apply(vm, o)
		},
	})
	go func() {
		if err := p.Run(ctx); err != nil {
			panic(err)
		}
	}()
}

func withoutHooks(svc kvs.Service) vmHooks {
	return vmHooks{beforeOrder: func() {}, afterReports: func() {}, service: svc}
}

// failRenewals makes renewals fail while failing is true, so that the lease holder learns
// only from its own clock that the lease has expired.
func failRenewals(svc *kvs.Service, failing *atomic.Bool) {
	renew := svc.Renew
	svc.Renew = func(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
		if failing.Load() {
			return 0, errors.Trace(kvs.ErrUnavailable)
		}
		return renew(ctx, id)
	}
}

// newSite returns three engines with one slot each, all with "rules" loaded, and needs
// that call for a copy of "plots".
func newSite(checksOrders bool) *fakeSite {
	s := &fakeSite{highestToken: map[call.ReplicaID]int64{}}
	for _, id := range []call.ReplicaID{"r1", "r2", "r3"} {
		s.replicas = append(s.replicas, place.Replica{
			ID: id, Slots: 1, ChecksOrders: checksOrders, Loaded: []place.Artifact{{Model: "rules"}},
		})
	}
	s.needs = place.Needs{
		{Artifact: place.Artifact{Model: "plots"}, Copies: 1, Tier: 0, MinCopies: 1, Megabytes: 1},
		{Artifact: place.Artifact{Model: "rules"}, Copies: 1, Tier: 1, MinCopies: 1, Megabytes: 1},
	}
	return s
}

// runInBubble runs a test in a synctest bubble, that is with a fake clock.
func runInBubble(t *testing.T, fn func(t *testing.T, ctx context.Context, fake *fakekv.Fake)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(t, ctx, fakekv.New(fakekv.Config{}))
		cancel()
		synctest.Wait()
	})
}
