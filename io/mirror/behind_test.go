package mirror

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/core/gwtest"
	"gentianwell/io/kvs"
)

// Guards against a copy that goes back when the watch delivers changes after a list that has them, and
// against a list that is older than the copy or of another era.
func TestAdopt(t *testing.T) {
	entry := func(key string, revision kvs.Revision) kvs.Entry { return kvs.Entry{Key: key, ModRevision: revision} }
	put := func(key string, revision kvs.Revision) kvs.Event {
		return kvs.Event{Kind: kvs.EventPut, Entry: entry(key, revision)}
	}
	remove := func(key string, revision kvs.Revision) kvs.Event {
		return kvs.Event{Kind: kvs.EventDelete, Entry: entry(key, revision)}
	}
	const nextEra = kvs.Revision(1<<40 + 9)
	for name, test := range map[string]struct {
		list    kvs.Snapshot
		adopted bool
		// then is what the watch delivers after that.
		then kvs.Batch
		want string
		// changed is what Changed then returns.
		changed kvs.Revision
	}{
		"newer":               {list: kvs.Snapshot{Revision: 9, Entries: kvs.Entries{entry("p/b", 8)}}, adopted: true, want: "p/b@8", changed: 8},
		"older":               {list: kvs.Snapshot{Revision: 4, Entries: kvs.Entries{entry("p/b", 4)}}, adopted: true, want: "p/a@5", changed: 5},
		"another era":         {list: kvs.Snapshot{Revision: nextEra, Entries: kvs.Entries{entry("p/b", nextEra)}}, want: "p/a@5", changed: 5},
		"removed, then put":   {list: kvs.Snapshot{Revision: 9}, adopted: true, then: kvs.Batch{Revision: 9, Events: []kvs.Event{put("p/a", 7), remove("p/a", 8)}}, want: "", changed: 8},
		"an old change after": {list: kvs.Snapshot{Revision: 9, Entries: kvs.Entries{entry("p/a", 9)}}, adopted: true, then: kvs.Batch{Revision: 7, Events: []kvs.Event{put("p/a", 7)}}, want: "p/a@9", changed: 9},
		"a new change after":  {list: kvs.Snapshot{Revision: 9}, adopted: true, then: kvs.Batch{Revision: 11, Events: []kvs.Event{put("p/a", 8), put("p/c", 11)}}, want: "p/c@11", changed: 11},
		"removed":             {list: kvs.Snapshot{Revision: 9}, adopted: true, want: "", changed: 6},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := logtest.NewNullLogger()
				f := &fakeService{entries: kvs.Entries{entry("p/a", 5)}, rev: 5, events: make(chan kvs.Batch)}
				var got kvs.Snapshot
				m, err := New(Config{Service: f.service(), Prefix: "p/", Log: log, Rand: rand.New(rand.NewPCG(gwtest.Seed(), 3)), Changed: func(s kvs.Snapshot) { got = s }})
				assert.NilError(t, err)
				assert.Equal(t, m.Adopt(test.list, time.Now()), false, "before the first read")
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = m.Run(ctx) }()
				synctest.Wait()
				assert.Equal(t, m.Adopt(test.list, time.Now()), test.adopted)
				assert.Equal(t, m.Delivered(), kvs.Revision(5))
				if test.then.Revision != 0 {
					f.events <- test.then
					synctest.Wait()
					assert.Equal(t, m.Delivered(), test.then.Revision)
				}
				var keys []string
				for _, e := range got.Entries {
					keys = append(keys, fmt.Sprintf("%s@%d", e.Key, e.ModRevision))
				}
				assert.Equal(t, strings.Join(keys, " "), test.want)
				assert.Equal(t, m.Changed(), test.changed)
			})
		})
	}
}

// Guards against a restart of the watch that reads all keys again, or that repeats changes.
func TestRewatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		log, _ := logtest.NewNullLogger()
		f := &fakeService{rev: 5, events: make(chan kvs.Batch)}
		service, lists := f.service(), 0
		var from []kvs.Revision
		list, watch := service.List, service.Watch
		service.List = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
			lists++
			return list(ctx, prefix)
		}
		service.Watch = func(ctx context.Context, prefix string, revision kvs.Revision, fn func(kvs.Batch) error) error {
			from = append(from, revision)
			return watch(ctx, prefix, revision, fn)
		}
		m, err := New(Config{Service: service, Prefix: "p/", Log: log, Rand: rand.New(rand.NewPCG(gwtest.Seed(), 3)), Changed: func(kvs.Snapshot) {}})
		assert.NilError(t, err)
		m.Rewatch() // before there is a watch
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = m.Run(ctx) }()
		synctest.Wait()
		assert.DeepEqual(t, from, []kvs.Revision{6})
		f.events <- kvs.Batch{Revision: 8}
		synctest.Wait()
		m.Rewatch()
		synctest.Wait()
		assert.DeepEqual(t, from, []kvs.Revision{6, 9})
		assert.Assert(t, m.Adopt(kvs.Snapshot{Revision: 12}, time.Now()))
		m.Rewatch()
		synctest.Wait()
		assert.DeepEqual(t, from, []kvs.Revision{6, 9, 13})
		assert.Equal(t, m.Delivered(), kvs.Revision(12))
		assert.Assert(t, m.Watching())
		assert.Equal(t, lists, 1)
		m.Reread()
		synctest.Wait()
		assert.Equal(t, lists, 2)
	})
}
