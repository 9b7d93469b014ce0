package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/prober"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
)

// A change of one key made the probe list the keys of every other prefix in each check, until their
// watches returned some seconds later.
func TestProbeComparesOncePerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		revision, lists := kvs.Revision(5), 0
		list := func(_ context.Context, prefix string) (kvs.Snapshot, error) {
			if prefix != probePrefix {
				lists++
			}
			return kvs.Snapshot{Revision: revision}, nil
		}
		watch := func(ctx context.Context, _ string, _ kvs.Revision, _ func(kvs.Batch) error) error {
			<-ctx.Done()
			return ctx.Err()
		}
		m, err := mirror.New(mirror.Config{
			Service: kvs.Service{List: list, Watch: watch}, Prefix: "r/", Changed: func(kvs.Snapshot) {}, Rand: rand.New(rand.NewPCG(1, 2)), Log: log,
		})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		synctest.Wait()
		schedule, err := prober.New(prober.Config{Self: "vm-0", Interval: time.Second, Step: time.Second})
		assert.NilError(t, err)
		items := spread.New(spread.Config{Self: "vm-0", Rand: rand.New(rand.NewPCG(1, 2))})
		reads := newReads(readsConfig{self: "vm-0", items: items, peers: func() []peer.Peer { return nil }, version: func() int64 { return 1 }, now: time.Now, log: log})
		p := &probe{reads: reads, interval: time.Second, list: list, mirrors: []*mirror.Mirror{m}, grace: 250 * time.Millisecond, log: log, observe: func(prober.Reason, probeResult) {}, members: &members{items: items, now: time.Now}, schedule: schedule}
		lists = 0
		for _, revision = range []kvs.Revision{9, 9, 9, 12, 12} {
			p.check(prober.ReasonFirst)
			synctest.Wait()
		}
		assert.Equal(t, lists, 2, "once for each of two revisions")
		p.pauses = map[string]time.Duration{"r/": 3 * time.Second}
		for range 10 {
			revision++
			p.check(prober.ReasonFirst)
			time.Sleep(time.Second)
		}
		assert.Equal(t, lists, 2+4, "every 3 s")

		// A copy that other VMs keep up to date is neither compared nor told of.
		told := func() string {
			item, _ := items.Get(time.Now(), spread.ID{Kind: kindRead, Key: "vm-0"})
			return string(item.Value)
		}
		p.pauses = nil
		revision++
		p.check(prober.ReasonLate)
		assert.Equal(t, told(), `{"changed":{"r/":0},"version":1}`)
		m.Pause()
		synctest.Wait()
		m.Confirm(time.Now().Add(time.Second))
		before := lists
		revision++
		p.check(prober.ReasonLate)
		assert.Equal(t, lists, before)
		assert.Equal(t, told(), `{"changed":{},"version":1}`)
	})
}

// Guards against a fleet of many VMs in which each one that reads the store late sends all replicas to all
// others: reads became late by that, and more VMs read.
func TestLateReadsPushReplicasOnly(t *testing.T) {
	for name, test := range map[string]struct {
		prefix string
		reason prober.Reason
		want   int
	}{
		"configuration, in turn":   {"c", prober.ReasonFirst, 1},
		"configuration, took over": {"c", prober.ReasonTakeover, 1},
		"configuration, late":      {"c", prober.ReasonLate, 0},
		"replicas, late":           {"r/", prober.ReasonLate, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newReadMirror(t, test.prefix)
				log, _ := logtest.NewNullLogger()
				pushes := 0
				p := &probe{replicaPrefix: "r/", push: func(kvs.Revision) { pushes++ }, restarted: func(string, watchNotice) {}, log: log}
				p.passOn(m, kvs.Snapshot{Revision: 9, Entries: kvs.Entries{{Key: test.prefix + "a", ModRevision: 9}}}, time.Now(), test.reason)
				assert.Equal(t, m.Revision(), kvs.Revision(9))
				assert.Equal(t, pushes, test.want)
			})
		})
	}
}

// Guards against a fleet in which all VMs read late at a time and each of them sends notices to all others.
func TestLateReadsBesideOthersAreToldByGossip(t *testing.T) {
	const others = 29
	for name, test := range map[string]struct {
		reason prober.Reason
		// heard is how old the newest read of another VM is, want how many notices all VMs send.
		heard time.Duration
		fewer bool
		want  int
	}{
		"in turn":                             {prober.ReasonFirst, 500 * time.Millisecond, false, others},
		"late, no read was heard of":          {prober.ReasonLate, 1500 * time.Millisecond, false, others},
		"late, a read does not confirm":       {prober.ReasonLate, 500 * time.Millisecond, false, 0},
		"the same, fewer VMs":                 {prober.ReasonLate, 500 * time.Millisecond, true, others},
		"taken over, a read does not confirm": {prober.ReasonTakeover, 500 * time.Millisecond, false, others},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newReadMirror(t, "c")
				log, _ := logtest.NewNullLogger()
				var sent atomic.Int32
				newOne := func(self int) (*reads, *spread.Store) {
					id := func(i int) call.VMID { return call.VMID(fmt.Sprintf("vm-%02d", i)) }
					var peers []peer.Peer
					for i := range others + 1 {
						if i != self {
							peers = append(peers, peer.Peer{ID: id(i)})
						}
					}
					items := spread.New(spread.Config{Self: id(self), Rand: rand.New(rand.NewPCG(1, 2))})
					return newReads(readsConfig{
						self: id(self), items: items, peers: func() []peer.Peer { return peers },
						notify: func(time.Time, peer.Peer, spread.Items) error { sent.Add(1); return nil },
						mirror: func(string) *mirror.Mirror { return m }, configPrefix: "c",
						heard: func(time.Time) {}, missing: func(*mirror.Mirror, kvs.Revision) {},
						version: func() int64 { return 1 }, now: time.Now, log: log,
					}), items
				}
				reader, items := newOne(0)
				reader.note("vm-01", time.Now())
				time.Sleep(test.heard)
				p := &probe{reads: reader, interval: 700 * time.Millisecond, grace: 250 * time.Millisecond, gossipFrom: others + 1, mirrors: []*mirror.Mirror{m}}
				if test.fewer {
					p.gossipFrom++
				}
				p.compareAll(5, time.Now(), test.reason)
				item, ok := items.Get(time.Now(), spread.ID{Kind: kindRead, Key: "vm-00"})
				assert.Assert(t, ok)
				for i := range others {
					listener, _ := newOne(1 + i)
					listener.apply(time.Now(), item)
				}
				synctest.Wait()
				assert.Equal(t, int(sent.Load()), test.want)
				assert.Equal(t, m.Age(), time.Duration(0))
			})
		})
	}
}
