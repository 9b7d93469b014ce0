package entry

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
)

// Guards against a watch that delivers nothing and is not restarted though another VM has told of a
// change, and against one that is restarted while it delivers, or over and over while the store
// delivers nothing to any watch.
func TestWatchChecks(t *testing.T) {
	for name, test := range map[string]struct {
		// told are the times at which another VM tells of the next change.
		told []time.Duration
		// sound makes the watch deliver each change 300 ms after it, repaired makes the second one do so.
		sound, repaired bool
		want            string
	}{
		"it delivers":                   {told: seconds(0, 1, 2, 3), sound: true},
		"it is dead":                    {told: seconds(0), repaired: true, want: "1s"},
		"it is dead, several changes":   {told: seconds(0, 0.3, 0.6, 5), repaired: true, want: "1s"},
		"the store delivers nothing":    {told: seconds(0, 1.5, 3, 4, 5, 6.5, 7, 8.25, 9, 10, 11.25, 12), want: "1s, 3.5s, 6s, 8.5s, 11s, 13.25s"},
		"a change while one is checked": {told: seconds(0, 0.9), want: "1s"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				log, _ := logtest.NewNullLogger()
				var revision, watches atomic.Int64
				revision.Store(5)
				current := func() kvs.Revision { return kvs.Revision(revision.Load()) }
				service := kvs.Service{
					List: func(context.Context, string) (kvs.Snapshot, error) { return kvs.Snapshot{Revision: current()}, nil },
					Watch: func(ctx context.Context, _ string, from kvs.Revision, fn func(kvs.Batch) error) error {
						first := watches.Add(1) == 1
						for sound := test.sound || test.repaired && !first; ; {
							select {
							case <-ctx.Done():
								return ctx.Err()
							case <-time.After(300 * time.Millisecond):
							}
							if now := current(); sound && now >= from {
								from = now + 1
								_ = fn(kvs.Batch{Revision: now})
							}
						}
					},
				}
				m, err := mirror.New(mirror.Config{Service: service, Prefix: "r/", Changed: func(kvs.Snapshot) {}, Rand: rand.New(rand.NewPCG(1, 2)), Log: log})
				assert.NilError(t, err)
				ctx, cancel := context.WithCancel(t.Context())
				defer cancel()
				go func() { _ = m.Run(ctx) }()
				synctest.Wait()
				began := time.Now()
				var mu sync.Mutex
				var restarts []string
				c := newWatchChecks(time.Second, func(_ string, noticed watchNotice) {
					assert.Equal(t, noticed, noticedByPeer)
					mu.Lock()
					defer mu.Unlock()
					restarts = append(restarts, fmt.Sprint(time.Since(began)))
				}, log)
				for _, at := range test.told {
					time.Sleep(at - time.Since(began))
					told := kvs.Revision(revision.Add(1))
					c.heard(m, func(m *mirror.Mirror) bool { return m.Delivered() >= told })
				}
				time.Sleep(4 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, strings.Join(restarts, ", "), test.want)
				assert.Equal(t, int(watches.Load()), 1+len(restarts))
			})
		})
	}
}

func seconds(times ...float64) []time.Duration {
	var out []time.Duration
	for _, s := range times {
		out = append(out, time.Duration(s*float64(time.Second)))
	}
	return out
}
