package claims

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/core/gwtest"
	"gentianwell/io/fakekv"
)

// step is one operation on a key. A write that isn't settled when its operation
// returns ends with the history, since it may take effect until then.
type step struct {
	op, key, id string
}

// status is a key's state in the model: who runs it, or whose answer is kept.
type status struct {
	holder   string
	finished bool
}

// model is one key: run only when free, replayed only after the finish and with
// its answer, and never in progress once a finish was acknowledged.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(step).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return status{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(status), input.(step)
		switch in.op {
		case "finish":
			return s.holder == in.id && !s.finished, status{in.id, true}
		case "release":
			return s.holder == in.id && !s.finished, status{}
		}
		switch v := output.(claim.Verdict); v.Kind {
		case claim.KindRun:
			return s.holder == "", status{holder: in.id}
		case claim.KindReplay:
			return s.finished && string(v.Outcome.Body) == s.holder, s
		case claim.KindInProgress:
			return !s.finished, s
		default:
			return v.Kind == claim.KindRefused, s
		}
	},
	DescribeOperation: func(input, output any) string { return fmt.Sprint(input, output) },
}

// historian records operations and how often each request was really sent.
type historian struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	sent  map[string]int
	kinds map[claim.Kind]int
}

// end of an operation that may take effect until the history's end.
const never = int64(1) << 62

func (h *historian) record(client int, in step, begun time.Time, out claim.Verdict, settled bool) {
	op := porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: begun.Sub(h.start).Nanoseconds(), Return: never,
	}
	if settled {
		op.Return = time.Since(h.start).Nanoseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	h.kinds[out.Kind]++
}

// request is one caller's request on one VM, run to its end.
func (h *historian) request(ctx context.Context, c *Claims, client int, id string, rng *rand.Rand) {
	key := fmt.Sprint(rng.IntN(40))
	begun := time.Now()
	attempt, err := c.Begin(ctx, claim.Request{ID: id, Team: "t", Service: "s", Key: key, Fingerprint: 1})
	if err != nil {
		panic(err)
	}
	h.record(client, step{"begin", key, id}, begun, attempt.Verdict(), true)
	if attempt.Verdict().Kind != claim.KindRun {
		return
	}
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	begun = time.Now()
	if rng.IntN(3) == 0 {
		err = c.Release(ctx, attempt)
		h.record(client, step{"release", key, id}, begun, claim.Verdict{}, err == nil)
		return
	}
	if err := attempt.MarkSent(time.Now()); err != nil {
		panic(err)
	}
	h.mu.Lock()
	h.sent[key]++
	h.mu.Unlock()
	time.Sleep(time.Duration(rng.IntN(500)) * time.Millisecond)
	err = c.Finish(ctx, attempt, claim.Outcome{Status: 200, Body: []byte(id)})
	h.record(client, step{"finish", key, id}, begun, claim.Verdict{}, err == nil)
}

// faulty turns faults on and off until the context ends.
func faulty(ctx context.Context, fake *fakekv.Fake, rng *rand.Rand) {
	for ctx.Err() == nil {
		fake.SetFaults(fakekv.Faults{
			Outage: rng.IntN(4) == 0, LoseRequests: rng.IntN(3), LoseReplies: rng.IntN(4),
			Delay: time.Duration(rng.IntN(3)) * 20 * time.Millisecond,
		})
		time.Sleep(time.Duration(rng.IntN(400)) * time.Millisecond)
		fake.SetFaults(fakekv.Faults{})
		time.Sleep(time.Duration(rng.IntN(800)) * time.Millisecond)
	}
}

// Five VMs and fifteen clients claim forty keys while the platform loses
// requests and replies, is slow and has outages.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{})
		h := &historian{start: time.Now(), sent: map[string]int{}, kinds: map[claim.Kind]int{}}
		var faults sync.WaitGroup
		faults.Go(func() { faulty(ctx, fake, rand.New(rand.NewPCG(gwtest.Seed(), 0))) })
		var vms []*Claims
		for i := range 5 {
			vms = append(vms, startVM(ctx, call.VMID(fmt.Sprint(i)), fake.Service()))
		}
		var clients sync.WaitGroup
		for client := range 15 {
			rng := rand.New(rand.NewPCG(gwtest.Seed(), uint64(client+1)))
			clients.Go(func() {
				for n := range 25 {
					h.request(ctx, vms[client%len(vms)], client, fmt.Sprintf("%d.%d", client, n), rng)
					time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
				}
			})
		}
		clients.Wait()
		cancel()
		faults.Wait()
		for key, n := range h.sent {
			assert.Assert(t, n <= 1, "key %s sent %d times", key, n)
		}
		for _, kind := range []claim.Kind{claim.KindRun, claim.KindReplay, claim.KindInProgress, claim.KindRefused} {
			assert.Assert(t, h.kinds[kind] > 0, "no %s: %v", kind, h.kinds)
		}
		t.Log(h.kinds)
		assert.Assert(t, porcupine.CheckOperations(model, h.ops))
	})
}
