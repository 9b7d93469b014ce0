package entry

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/io/peer"
)

// Guards against a VM that waits for the bundle of one other VM, which stands still: nothing else was
// fetched for two seconds. The VMs in still do not answer, the others do after 50 ms.
func TestBundlesOfOtherVMs(t *testing.T) {
	for name, test := range map[string]struct {
		// then are offers of a newer bundle after 60 ms.
		offers, still, then string
		want                string
	}{
		"one":                           {offers: "a", want: "a 0s"},
		"the first answers":             {offers: "a b c", want: "a 0s"},
		"the first stands still":        {offers: "a b c", still: "a", want: "a 0s, b 200ms"},
		"two stand still":               {offers: "a b c d", still: "a b", want: "a 0s, b 200ms, c 400ms"},
		"not more than three at a time": {offers: "a b c d", still: "a b c", want: "a 0s, b 200ms, c 400ms, d 2s"},
		"the same one again":            {offers: "a a a", still: "a", want: "a 0s, a 2s"},
		"a newer one":                   {offers: "a b c", then: "b", want: "a 0s, b 60ms"},
		"a newer one of the same VM":    {offers: "a b", then: "a", want: "a 0s, a 60ms"},
		"a newer one, one stands still": {offers: "b", still: "b", then: "c", want: "b 0s, c 200ms"},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				began := time.Now()
				var mu sync.Mutex
				var asked []string
				var wanted atomic.Bool
				wanted.Store(true)
				f := &bundleFetcher{failed: func(call.VMID, error) {}, fetch: func(_ context.Context, from peer.Peer) error {
					mu.Lock()
					asked = append(asked, fmt.Sprint(from.ID, " ", time.Since(began)))
					mu.Unlock()
					if strings.Contains(test.still, string(from.ID)) {
						time.Sleep(2 * time.Second)
						return context.DeadlineExceeded
					}
					time.Sleep(50 * time.Millisecond)
					wanted.Store(false)
					return nil
				}}
				for _, id := range strings.Fields(test.offers) {
					f.offer(peer.Peer{ID: call.VMID(id)}, wanted.Load)
				}
				time.Sleep(60 * time.Millisecond)
				for _, id := range strings.Fields(test.then) {
					wanted.Store(true)
					f.offer(peer.Peer{ID: call.VMID(id)}, wanted.Load)
				}
				time.Sleep(10 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				assert.Equal(t, strings.Join(asked, ", "), test.want)
				f.mu.Lock()
				defer f.mu.Unlock()
				assert.Equal(t, len(f.asked), 0)
			})
		})
	}
}
