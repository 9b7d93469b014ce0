package entry

import (
	"context"
	"sync"
	"time"

	"gentianwell/core/call"
	"gentianwell/io/peer"
)

const (
	// maxFetches limits the bundles that are fetched at a time.
	maxFetches = 3
	// fetchHedge is how long the VM that was asked last has to answer before the next one is asked.
	fetchHedge = 200 * time.Millisecond
)

// bundleFetcher fetches bundles of other VMs. While a VM does not answer, others that offer the same
// are asked, too: the first one may stand still.
type bundleFetcher struct {
	// fetch fetches and adopts the bundle of a VM.
	fetch func(ctx context.Context, from peer.Peer) error
	// failed is called with each error of fetch.
	failed func(vm call.VMID, err error)

	mu sync.Mutex
	// asked holds the VMs that are being asked, or are next; nextAt is when the next one may be.
	asked  map[call.VMID]bool
	nextAt time.Time
}

// offer asks a VM for its bundle: at once if no other VM is being asked, else once these have had time
// to answer and it is still wanted. It does not wait.
func (f *bundleFetcher) offer(from peer.Peer, wanted func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.asked[from.ID] || len(f.asked) >= maxFetches {
		return
	}
	if f.asked == nil {
		f.asked = map[call.VMID]bool{}
	}
	now := time.Now()
	at := now
	if len(f.asked) > 0 && f.nextAt.After(now) {
		at = f.nextAt
	}
	f.asked[from.ID] = true
	f.nextAt = at.Add(fetchHedge)
	time.AfterFunc(at.Sub(now), func() {
		defer func() {
			f.mu.Lock()
			defer f.mu.Unlock()
			delete(f.asked, from.ID)
		}()
		if !wanted() {
			return
		}
		if err := f.fetch(context.Background(), from); err != nil {
			f.failed(from.ID, err)
		}
	})
}
