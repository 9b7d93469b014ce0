package entry

import (
	"testing"
	"testing/synctest"
	"time"

	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"
)

// Guards against a VM that has stood still, or that hears of no read of the store, and serves by a
// configuration that may be older than the bound for a change; and against requests that wait again and
// again while the store is out of reach.
func TestHolds(t *testing.T) {
	for name, test := range map[string]struct {
		// age is that of the copies before the read, read how long that takes; gap is the time without a tick.
		age, read, gap time.Duration
		// lost leaves the copies as old as they are after the read.
		lost, down bool
		// want are the waits of three requests, 100 ms after each other.
		want [3]time.Duration
	}{
		"young":               {age: time.Second},
		"old":                 {age: 1900 * time.Millisecond, read: 5 * time.Millisecond, want: [3]time.Duration{5 * time.Millisecond}},
		"old, a slow store":   {age: 3 * time.Second, read: 120 * time.Millisecond, want: [3]time.Duration{120 * time.Millisecond}},
		"old, no answer":      {age: 3 * time.Second, read: time.Second, lost: true, want: [3]time.Duration{maxHold}},
		"old, still so after": {age: 3 * time.Second, read: 5 * time.Millisecond, lost: true, want: [3]time.Duration{5 * time.Millisecond}},
		"old, store down":     {age: 3 * time.Second, read: time.Second, down: true},
		"stood still":         {age: time.Second, gap: 1500 * time.Millisecond, read: 5 * time.Millisecond, want: [3]time.Duration{5 * time.Millisecond}},
		"a slow machine":      {age: time.Second, gap: 900 * time.Millisecond, read: 5 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				h := newHolds(1900 * time.Millisecond)
				h.log, _ = logtest.NewNullLogger()
				age, reads := time.Duration(0), 0
				h.age, h.storeUp = func() time.Duration { return age }, func() bool { return !test.down }
				h.read = func() {
					reads++
					time.Sleep(test.read)
					if !test.lost {
						age = 0
					}
				}
				time.Sleep(time.Second)
				h.tick(time.Now())
				h.wait()
				assert.Equal(t, reads, 0)
				time.Sleep(test.gap)
				age = test.age
				var got [3]time.Duration
				for i := range got {
					began := time.Now()
					h.wait()
					got[i] = time.Since(began)
					synctest.Wait()
					time.Sleep(50 * time.Millisecond)
					h.tick(time.Now())
					time.Sleep(50 * time.Millisecond)
				}
				assert.Equal(t, got, test.want)
				time.Sleep(time.Second)
			})
		})
	}
}
