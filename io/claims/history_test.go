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

// operation is the input of one operation on a key in a porcupine history.
type operation struct {
	op, key, id string
}

// keyState is the state of a key in the model.
type keyState struct {
	// holder is the ID of the request that holds the key or, if finished is true,
	// whose outcome is stored.
	holder   string
	finished bool
}

// model is the specification of one key: a call is run only if the key is free, and
// replayed only after its finish and with its own outcome. It is never in progress
// once its finish was acknowledged.
var model = porcupine.Model{
	Partition: func(history []porcupine.Operation) [][]porcupine.Operation {
		byKey := map[string][]porcupine.Operation{}
		for _, op := range history {
			key := op.Input.(operation).key
			byKey[key] = append(byKey[key], op)
		}
		var parts [][]porcupine.Operation
		for _, part := range byKey {
			parts = append(parts, part)
		}
		return parts
	},
	Init: func() any { return keyState{} },
	Step: func(state, input, output any) (bool, any) {
		s, in := state.(keyState), input.(operation)
		switch in.op {
		case "finish":
			return s.holder == in.id && !s.finished, keyState{in.id, true}
		case "release":
			return s.holder == in.id && !s.finished, keyState{}
		}
		switch v := output.(claim.Verdict); v.Kind {
		case claim.KindRun:
			return s.holder == "", keyState{holder: in.id}
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

// historyRecorder records the operations and how often the call of each key was
// sent.
type historyRecorder struct {
	mu    sync.Mutex
	start time.Time
	ops   []porcupine.Operation
	sent  map[string]int
	kinds map[claim.Kind]int
}

// afterHistory is the end time of a write that was not confirmed when its operation
// returned: it may take effect until the end of the history.
const afterHistory = int64(1) << 62

func (h *historyRecorder) record(client int, in operation, begun time.Time, out claim.Verdict, confirmed bool) {
	op := porcupine.Operation{
		ClientId: client, Input: in, Output: out,
		Call: begun.Sub(h.start).Nanoseconds(), Return: afterHistory,
	}
	if confirmed {
		op.Return = time.Since(h.start).Nanoseconds()
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.ops = append(h.ops, op)
	h.kinds[out.Kind]++
}

// request handles one request of a client on one VM until it has ended.
func (h *historyRecorder) request(ctx context.Context, c *Claims, client int, id string, rng *rand.Rand) {
	key := fmt.Sprint(rng.IntN(40))
	begun := time.Now()
	attempt, err := c.Begin(ctx, claim.Request{ID: id, Team: "t", Service: "s", Key: key, Fingerprint: 1})
	if err != nil {
		panic(err)
	}
	h.record(client, operation{"begin", key, id}, begun, attempt.Verdict(), true)
	if attempt.Verdict().Kind != claim.KindRun {
		return
	}
	time.Sleep(time.Duration(rng.IntN(200)) * time.Millisecond)
	begun = time.Now()
	if rng.IntN(3) == 0 {
		err = c.Release(ctx, attempt)
		h.record(client, operation{"release", key, id}, begun, claim.Verdict{}, err == nil)
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
	h.record(client, operation{"finish", key, id}, begun, claim.Verdict{}, err == nil)
}

// injectFaults turns faults on and off until ctx is done.
func injectFaults(ctx context.Context, fake *fakekv.Fake, rng *rand.Rand) {
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

// Five VMs and fifteen clients claim forty keys while the platform loses requests and
// replies, is slow and has outages. No key is sent twice, and the history of each key
// is linearizable.
func TestHistory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		fake := fakekv.New(fakekv.Config{})
		h := &historyRecorder{start: time.Now(), sent: map[string]int{}, kinds: map[claim.Kind]int{}}
		var faults sync.WaitGroup
		faults.Go(func() { injectFaults(ctx, fake, rand.New(rand.NewPCG(gwtest.Seed(), 0))) })
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
