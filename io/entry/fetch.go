package entry

import (
	"context"
	"slices"
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

// bundleFetcher fetches bundles of other VMs, of one at a time while it answers. Others that offer one
// are asked, too, if it does not: it may stand still.
type bundleFetcher struct {
	// fetch fetches and adopts the bundle of a VM.
	fetch func(ctx context.Context, from peer.Peer) error
	// failed is called with each error of fetch.
	failed func(vm call.VMID, err error)

	mu sync.Mutex
	// asked holds the VMs that are being asked; askedAt is when the last of them was.
	asked   map[call.VMID]bool
	askedAt time.Time
	// waiting holds the offers that are not followed yet, one of each VM. With timed set, a timer
	// looks at them again.
	waiting []bundleOffer
	timed   bool
}

// bundleOffer is that of a VM, as long as it is wanted.
type bundleOffer struct {
	from   peer.Peer
	wanted func() bool
}

// offer asks a VM for its bundle: at once if no other VM is being asked, else once these have had time
// to answer and it is still wanted. It does not wait.
func (f *bundleFetcher) offer(from peer.Peer, wanted func() bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.waiting = slices.DeleteFunc(f.waiting, func(o bundleOffer) bool { return o.from.ID == from.ID })
	f.waiting = append(f.waiting, bundleOffer{from, wanted})
	f.advance()
}

// advance follows the offers that are due; f.mu is held.
func (f *bundleFetcher) advance() {
	f.waiting = slices.DeleteFunc(f.waiting, func(o bundleOffer) bool { return !o.wanted() })
	for len(f.asked) < maxFetches {
		next := slices.IndexFunc(f.waiting, func(o bundleOffer) bool { return !f.asked[o.from.ID] })
		if next < 0 {
			return
		}
		if wait := time.Until(f.askedAt.Add(fetchHedge)); len(f.asked) > 0 && wait > 0 {
			f.advanceIn(wait)
			return
		}
		from := f.waiting[next].from
		f.waiting = slices.Delete(f.waiting, next, next+1)
		if f.asked == nil {
			f.asked = map[call.VMID]bool{}
		}
		f.asked[from.ID], f.askedAt = true, time.Now()
		go f.ask(from)
	}
}

// advanceIn calls advance after a time, unless that is going to happen; f.mu is held.
func (f *bundleFetcher) advanceIn(wait time.Duration) {
	if f.timed {
		return
	}
	f.timed = true
	time.AfterFunc(wait, func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.timed = false
		f.advance()
	})
}

func (f *bundleFetcher) ask(from peer.Peer) {
	if err := f.fetch(context.Background(), from); err != nil {
		f.failed(from.ID, err)
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.asked, from.ID)
	f.advance()
}
