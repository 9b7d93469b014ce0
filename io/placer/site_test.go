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

// taken is an order as an engine took it.
type taken struct {
	vm      call.VMID
	order   Order
	at      time.Time
	refused bool
}

// site is a few engines that remember their orders.
type site struct {
	mu       sync.Mutex
	replicas place.Replicas
	needs    place.Needs
	fences   map[call.ReplicaID]int64
	log      []taken
	// drained is true once an order has brought a model below its floor.
	drained bool
	// armed is a process to be stopped, stopped is closed then.
	armed   atomic.Pointer[os.Process]
	stopped chan struct{}
}

func (s *site) reports() place.Replicas {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := slices.Clone(s.replicas)
	for i := range out {
		out[i].Loaded = slices.Clone(out[i].Loaded)
		out[i].Reported = time.Now()
	}
	return out
}

// take lets an engine carry out an order, or refuse it if it checks numbers.
func (s *site) take(vm call.VMID, o Order) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := slices.IndexFunc(s.replicas, func(r place.Replica) bool { return r.ID == o.Replica })
	r := &s.replicas[i]
	refused := r.ChecksOrders && o.FencingToken < s.fences[r.ID]
	s.log = append(s.log, taken{vm, o, time.Now(), refused})
	if refused {
		return errors.Trace(ErrRefused)
	}
	s.fences[r.ID] = o.FencingToken
	at := slices.Index(r.Loaded, o.Artifact)
	if o.Action == place.ActionUnload && at >= 0 {
		r.Loaded = slices.Delete(r.Loaded, at, at+1)
		s.drained = s.drained || s.count(o.Artifact.Model) == 0
	}
	if o.Action == place.ActionLoad && at < 0 {
		r.Loaded = append(r.Loaded, o.Artifact)
	}
	return nil
}

func (s *site) wasDrained() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.drained
}

// all returns all orders so far.
func (s *site) all() []taken {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.log)
}

// orders returns what the VM's orders were, without those that only fence.
func (s *site) orders(vm call.VMID) []taken {
	s.mu.Lock()
	defer s.mu.Unlock()
	var out []taken
	for _, t := range s.log {
		if t.vm == vm && t.order.Reason != "new fencing number" {
			out = append(out, t)
		}
	}
	return out
}

func (s *site) copies(m call.Model) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.count(m)
}

func (s *site) count(m call.Model) int {
	n := 0
	for _, r := range s.replicas {
		if slices.Contains(r.Loaded, place.Artifact{Model: m}) {
			n++
		}
	}
	return n
}

var nonces atomic.Int64

// seams are where a test stops a VM.
type seams struct {
	order   func()
	reports func()
	service kvs.Service
}

// every is the timer service of a bubble.
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

func (s *site) start(ctx context.Context, vm call.VMID, at seams) {
	p := New(Config{
		Service: at.service, VM: vm, Nonce: func() string { return strconv.FormatInt(nonces.Add(1), 10) },
		Every: every(ctx), Needs: func() place.Needs { s.mu.Lock(); defer s.mu.Unlock(); return slices.Clone(s.needs) },
		Replicas: func() place.Replicas {
			out := s.reports()
			at.reports()
			return out
		},
		SendOrder: func(_ context.Context, o Order) error {
			at.order()
			return s.take(vm, o)
		},
	})
	go func() {
		if err := p.Run(ctx); err != nil {
			panic(err)
		}
	}()
}

func free(svc kvs.Service) seams {
	return seams{order: func() {}, reports: func() {}, service: svc}
}

// cutOff makes renewals fail while cut is true, so that only the holder's own
// clock tells it that the lease has lapsed.
func cutOff(svc *kvs.Service, cut *atomic.Bool) {
	renew := svc.Renew
	svc.Renew = func(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
		if cut.Load() {
			return 0, errors.Trace(kvs.ErrUnavailable)
		}
		return renew(ctx, id)
	}
}

// newSite has three one-slot engines with "rules" and a need for more "plots".
func newSite(checks bool) *site {
	s := &site{fences: map[call.ReplicaID]int64{}}
	for _, id := range []call.ReplicaID{"r1", "r2", "r3"} {
		s.replicas = append(s.replicas, place.Replica{
			ID: id, Slots: 1, ChecksOrders: checks, Loaded: []place.Artifact{{Model: "rules"}},
		})
	}
	s.needs = place.Needs{
		{Artifact: place.Artifact{Model: "plots"}, Copies: 1, Tier: 0, MinCopies: 1, Megabytes: 1},
		{Artifact: place.Artifact{Model: "rules"}, Copies: 1, Tier: 1, MinCopies: 1, Megabytes: 1},
	}
	return s
}

// bubble runs a test on fake time.
func bubble(t *testing.T, fn func(t *testing.T, ctx context.Context, fake *fakekv.Fake)) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fn(t, ctx, fakekv.New(fakekv.Config{}))
		cancel()
		synctest.Wait()
	})
}
