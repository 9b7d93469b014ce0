package conf

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/anishathalye/porcupine"
	"github.com/juju/errors"
	"gotest.tools/v3/assert"

	"gentianwell/core/gwtest"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// The inputs, outputs and states of settingsModel.
type (
	request struct {
		read  bool
		value string
	}
	reply struct {
		kind    string
		version int64
		value   string
	}
	register struct {
		version int64
		value   string
	}
)

const (
	replyRead     = "read"
	replyAccepted = "accepted"
	replyConflict = "conflict"
	replyRefused  = "refused"
	replyUnknown  = "unknown"
)

// settingsModel is a register whose version increases by one with each change.
var settingsModel = porcupine.NondeterministicModel{
	Init: func() []any { return []any{register{}} },
	Step: func(state, input, output any) []any {
		s, in, out := state.(register), input.(request), output.(reply)
		next := register{version: s.version + 1, value: in.value}
		switch out.kind {
		case replyRead:
			return keepIf(s, s.version == out.version && s.value == out.value)
		case replyAccepted:
			return keepIf(next, next.version == out.version)
		case replyConflict:
			return keepIf(s, s.version == out.version)
		case replyUnknown:
			return []any{s, next}
		}
		return []any{s}
	},
	Equal: func(a, b any) bool { return a == b },
}

// keepIf returns the state if the output is possible, and no state otherwise.
func keepIf(s register, ok bool) []any {
	if !ok {
		return nil
	}
	return []any{s}
}

// unreliable returns a service whose transactions are slow, lose requests and
// replies, and sometimes take effect long after the caller has given up.
func unreliable(svc kvs.Service, rnd *rand.Rand, pending *sync.WaitGroup) kvs.Service {
	transact, list := svc.Transact, svc.List
	svc.List = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
		time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
		snap, err := list(ctx, prefix)
		time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
		return snap, err
	}
	svc.Transact = func(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
		time.Sleep(time.Duration(rnd.IntN(5)) * time.Millisecond)
		switch rnd.IntN(6) {
		case 0:
			return kvs.TxnResult{}, kvs.ErrUnknown
		case 1:
			_, _ = transact(ctx, txn)
			return kvs.TxnResult{}, kvs.ErrUnknown
		case 2:
			late := time.Duration(rnd.IntN(1500)) * time.Millisecond
			pending.Go(func() {
				time.Sleep(late)
				_, _ = transact(context.WithoutCancel(ctx), txn)
			})
			return kvs.TxnResult{}, kvs.ErrUnknown
		case 3:
			return kvs.TxnResult{}, kvs.ErrUnavailable
		}
		return transact(ctx, txn)
	}
	return svc
}

const (
	historyRounds  = 8
	historyClients = 5
	historyOps     = 6
)

func TestRacingOperatorsAreLinearizable(t *testing.T) {
	for round := range historyRounds {
		t.Run(strconv.Itoa(round), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { checkHistory(t, uint64(round)) })
		})
	}
}

func checkHistory(t *testing.T, round uint64) {
	fake := fakekv.New(fakekv.Config{})
	var (
		mu      sync.Mutex
		history []porcupine.Operation
		clients sync.WaitGroup
		pending sync.WaitGroup
	)
	for client := range historyClients {
		rnd := rand.New(rand.NewPCG(gwtest.Seed(), round*historyClients+uint64(client)))
		store := newStore(unreliable(fake.Service(), rnd, &pending), fmt.Sprintf("c%d", client))
		clients.Go(func() {
			for n := range historyOps {
				in := request{read: rnd.IntN(3) == 0, value: strconv.Itoa(1 + client*historyOps + n)}
				op := porcupine.Operation{ClientId: client, Input: in, Call: time.Now().UnixNano()}
				out := execute(t.Context(), store, in)
				op.Output, op.Return = out, time.Now().UnixNano()
				if out.kind == replyUnknown {
					op.Return = time.Now().Add(time.Hour).UnixNano()
				}
				mu.Lock()
				history = append(history, op)
				mu.Unlock()
			}
		})
	}
	clients.Wait()
	pending.Wait()
	history = append(history, finalRead(t, fake))
	model := settingsModel.ToModel()
	assert.Assert(t, porcupine.CheckOperations(model, history), "history is not linearizable: %+v", history)
}

// finalRead reads the settings at the end, which shows which of the changes with an
// unknown outcome were made.
func finalRead(t *testing.T, fake *fakekv.Fake) porcupine.Operation {
	begin := time.Now().UnixNano()
	out := execute(t.Context(), newStore(fake.Service(), "final"), request{read: true})
	return porcupine.Operation{
		ClientId: historyClients, Input: request{read: true}, Output: out,
		Call: begin, Return: time.Now().Add(2 * time.Hour).UnixNano(),
	}
}

func execute(ctx context.Context, store *Store, in request) reply {
	if in.read {
		loaded, err := store.Load(ctx)
		if err != nil {
			return reply{kind: replyRefused}
		}
		return reply{kind: replyRead, version: loaded.Version, value: value(loaded.Tree, "site.weight")}
	}
	accepted, err := store.Change(ctx, set("site.weight", in.value), tree.Head{})
	var conflict *Conflict
	switch {
	case err == nil:
		return reply{kind: replyAccepted, version: accepted.Document.Version}
	case errors.As(err, &conflict):
		return reply{kind: replyConflict, version: conflict.Head.Version}
	case errors.Is(err, ErrOutcomeUnknown):
		return reply{kind: replyUnknown}
	}
	return reply{kind: replyRefused}
}
