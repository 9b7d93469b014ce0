package entry

import (
	"context"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
)

// newReadMirror returns a mirror whose copy is of revision 5 and whose watch delivers nothing.
func newReadMirror(t *testing.T, prefix string) *mirror.Mirror {
	t.Helper()
	log, _ := logtest.NewNullLogger()
	m, err := mirror.New(mirror.Config{
		Prefix: prefix, Changed: func(kvs.Snapshot) {}, Rand: rand.New(rand.NewPCG(1, 2)), Log: log,
		Service: kvs.Service{
			List: func(context.Context, string) (kvs.Snapshot, error) {
				return kvs.Snapshot{Revision: 5, Entries: kvs.Entries{{Key: prefix + "a", ModRevision: 5}}}, nil
			},
			Watch: func(ctx context.Context, _ string, _ kvs.Revision, _ func(kvs.Batch) error) error {
				<-ctx.Done()
				return ctx.Err()
			},
		},
	})
	assert.NilError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go func() { _ = m.Run(ctx) }()
	synctest.Wait()
	return m
}

// Guards against copies that seem younger than they are, since what told of a read was long under way or
// clocks differ, and against copies that are confirmed though they lack a change.
func TestReadsTellHowOldCopiesAre(t *testing.T) {
	const way = 20 * time.Millisecond
	for name, test := range map[string]struct {
		// prefix is that of the copy, changed the newest change that the reader has, version its configuration
		// and own that of this VM.
		prefix       string
		changed      kvs.Revision
		version, own int64
		// way is how long the message is under way, clock how far the reader's clock is ahead, known whether
		// that is known.
		way, clock time.Duration
		known      bool
		// want is the age of the copy after it, of 6 s without it; missing is whether a change is missing.
		want    time.Duration
		missing bool
	}{
		"complete":                         {prefix: "r/", changed: 5, way: way, want: way},
		"a change is missing":              {prefix: "r/", changed: 6, way: way, want: 6 * time.Second, missing: true},
		"long under way":                   {prefix: "r/", changed: 5, way: 3 * time.Second, known: true, want: 3 * time.Second},
		"clocks differ":                    {prefix: "r/", changed: 5, way: way, clock: time.Hour, known: true, want: way},
		"clocks differ, not known yet":     {prefix: "r/", changed: 5, way: way, clock: time.Hour, want: 0},
		"a clock is behind, and not known": {prefix: "r/", changed: 5, way: way, clock: -time.Hour, want: 6 * time.Second},
		"configuration by another way":     {prefix: "c", changed: 9, version: 4, own: 4, way: way, want: way, missing: true},
		"configuration is newer":           {prefix: "c", changed: 9, version: 5, own: 4, way: way, want: 6 * time.Second, missing: true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newReadMirror(t, test.prefix)
				log, _ := logtest.NewNullLogger()
				var heard time.Time
				missing := false
				newOne := func(vm call.VMID, version int64) *reads {
					return newReads(readsConfig{
						self: vm, items: spread.New(spread.Config{Self: vm, Rand: rand.New(rand.NewPCG(1, 2))}), peers: func() []peer.Peer { return nil },
						version: func() int64 { return version }, configPrefix: "c", now: time.Now, log: log,
						mirror: func(prefix string) *mirror.Mirror {
							if prefix == test.prefix {
								return m
							}
							return nil
						},
						ahead: func(call.VMID) time.Duration {
							if test.known {
								return test.clock
							}
							return 0
						},
						heard:   func(at time.Time) { heard = at },
						missing: func(m *mirror.Mirror, changed kvs.Revision) { missing = m.Delivered() < changed },
					})
				}
				time.Sleep(6*time.Second - test.way)
				reader, listener := newOne("a", test.version), newOne("b", test.own)
				began := time.Now()
				value := `{"changed":{"` + test.prefix + `":` + string('0'+rune(test.changed)) + `},"version":` + string('0'+rune(test.version)) + `}`
				item := spread.Item{ID: spread.ID{Kind: kindRead, Key: "a"}, Version: 1, Value: []byte(value), Expires: began.Add(readTTL)}
				assert.Assert(t, reader.note("a", began))
				left, sent := item.Expires.Sub(began), began.Add(test.clock).Round(0)
				time.Sleep(test.way)
				now := time.Now()
				item.Expires = now.Add(left)
				items := listener.received(now, "a", sent, spread.Items{item})
				if items[0].Expires.After(now) {
					listener.apply(now, items[0])
					assert.Assert(t, now.Sub(heard) >= test.way || test.clock > 0, "%s", now.Sub(heard))
				}
				assert.Equal(t, m.Age().Round(way), test.want.Round(way))
				assert.Equal(t, missing, test.missing)
			})
		})
	}
}
