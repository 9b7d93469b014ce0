package placer

import (
	"context"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/place"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// fencingModel is the model of an engine that ignores fencing tokens but never gets
// an older one after a newer one: the tokens of its orders never decrease.
var fencingModel = porcupine.Model{
	Init: func() any { return int64(0) },
	Step: func(state, input, _ any) (bool, any) {
		return input.(int64) >= state.(int64), input
	},
}

// orderLog records when each order was sent and when it had ended.
type orderLog struct {
	mu     sync.Mutex
	start  time.Time
	ops    []porcupine.Operation
	tokens map[int64]bool
}

func (l *orderLog) add(client int, token int64, begun time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.tokens[token] = true
	l.ops = append(l.ops, porcupine.Operation{
		ClientId: client, Input: token,
		Call: begun.Sub(l.start).Nanoseconds(), Return: time.Since(l.start).Nanoseconds(),
	})
}

// runUnstableVM runs a VM whose responses to renewals are late, whose orders take up
// to OrderTimeout and which is occasionally paused between steps.
func (l *orderLog) runUnstableVM(ctx context.Context, s *fakeSite, fake *fakekv.Fake, client int) {
	rng := rand.New(rand.NewPCG(gwtest.Seed(), uint64(client)))
	var mu sync.Mutex
	draw := func(n int) int {
		mu.Lock()
		defer mu.Unlock()
		return rng.IntN(n)
	}
	svc := fake.Service()
	renew := svc.Renew
	svc.Renew = func(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
		ttl, err := renew(ctx, id)
		time.Sleep(time.Duration(draw(8)) * time.Second)
		return ttl, err
	}
	p := New(Config{
		Service: svc, VM: call.VMID(strconv.Itoa(client)), Every: every(ctx),
		Nonce: func() string { return strconv.FormatInt(nonces.Add(1), 10) },
		Needs: func() place.Needs {
			needs := place.Needs{}
			for _, m := range []call.Model{"a", "b", "c", "d"} {
				needs = append(needs, place.Need{Artifact: place.Artifact{Model: m}, Copies: draw(3), Tier: call.Tier(draw(3)), Megabytes: 1})
			}
			return needs
		},
		Replicas: func() place.Replicas {
			if draw(10) == 0 {
				time.Sleep(time.Duration(draw(200)) * time.Second)
			}
			return s.reports()
		},
		SendOrder: func(_ context.Context, o Order) error {
			begun := time.Now()
			time.Sleep(time.Duration(draw(1000)) * 10 * time.Millisecond)
			l.add(client, o.FencingToken, begun)
			return s.apply(call.VMID(strconv.Itoa(client)), o)
		},
	})
	if err := p.Run(ctx); err != nil {
		panic(err)
	}
}

// Five VMs compete for the lease while the platform ends leases early, loses replies
// and has outages, and VMs are paused. Engines that ignore fencing tokens never get
// an order of an earlier lease holder after one of a later holder.
func TestOrderHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{})
		l := &orderLog{start: time.Now(), tokens: map[int64]bool{}}
		s := newSite(false)
		for i := range s.replicas {
			s.replicas[i].Slots = 2
		}
		var group sync.WaitGroup
		for client := range 5 {
			group.Go(func() { l.runUnstableVM(ctx, s, fake, client) })
		}
		rng := rand.New(rand.NewPCG(gwtest.Seed(), 99))
		for range 300 {
			time.Sleep(time.Duration(rng.IntN(200)) * time.Second)
			switch rng.IntN(3) {
			case 0:
				fake.LapseLeases()
			case 1:
				fake.SetFaults(fakekv.Faults{Outage: true})
				time.Sleep(time.Duration(rng.IntN(90)) * time.Second)
				fake.SetFaults(fakekv.Faults{})
			default:
				fake.SetFaults(fakekv.Faults{LoseReplies: rng.IntN(3), LoseRequests: rng.IntN(2)})
			}
		}
		cancel()
		group.Wait()
		t.Log(len(l.tokens), len(l.ops))
		assert.Assert(t, len(l.tokens) > 5, "%d terms had orders", len(l.tokens))
		assert.Assert(t, porcupine.CheckOperations(fencingModel, l.ops))
	})
}
