package fakes

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length of a prompt block in the prefix cache.
const BlockBytes = 256

// maxCacheEvents bounds the cache events that are kept for readers.
const maxCacheEvents = 4096

// BlockHashes returns the hash of each prefix of the prompt that is a whole
// number of blocks, shortest first.
func BlockHashes(prompt string) []uint64 {
	var out []uint64
	for end := BlockBytes; end <= len(prompt); end += BlockBytes {
		out = append(out, xxhash.Sum64String(prompt[:end]))
	}
	return out
}

// CacheEventKind is the kind of a CacheEvent.
type CacheEventKind string

// The kinds of cache event.
const (
	CacheStored  CacheEventKind = "stored"
	CacheRemoved CacheEventKind = "removed"
)

// CacheEvent says that a prefix came into the cache or left it.
type CacheEvent struct {
	Seq  int64          `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash,string"`
	at   time.Time
}

// CacheEvents is the answer to GET /cache/events?after=SEQ. A gap in the
// numbers means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// prefixCache is a bounded cache of prompt prefixes, least recently used first out.
type prefixCache struct {
	mu     sync.Mutex
	max    int
	gap    int
	lag    time.Duration
	order  *list.List
	blocks map[uint64]*list.Element
	events []CacheEvent
	seq    int64
}

func newPrefixCache(c EngineConfig) *prefixCache {
	return &prefixCache{
		max: c.CacheBlocks, gap: c.DropEventEvery, lag: c.ReportLag,
		order: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// use puts the prompt's blocks into the cache and returns how many were missing.
func (p *prefixCache) use(prompt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := 0
	for _, h := range BlockHashes(prompt) {
		if at, ok := p.blocks[h]; ok {
			p.order.MoveToBack(at)
			continue
		}
		missing++
		p.blocks[h] = p.order.PushBack(h)
		p.note(CacheStored, h)
	}
	for p.order.Len() > p.max {
		h := p.order.Remove(p.order.Front()).(uint64)
		delete(p.blocks, h)
		p.note(CacheRemoved, h)
	}
	return missing
}

func (p *prefixCache) note(kind CacheEventKind, h uint64) {
	p.seq++
	if p.gap > 0 && p.seq%int64(p.gap) == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Kind: kind, Hash: h, at: time.Now()})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[len(p.events)-maxCacheEvents:]
	}
}

func (p *prefixCache) after(seq int64) CacheEvents {
	p.mu.Lock()
	defer p.mu.Unlock()
	visible := time.Now().Add(-p.lag)
	out := CacheEvents{Events: []CacheEvent{}}
	for _, e := range p.events {
		if e.Seq > seq && !e.at.After(visible) {
			out.Events = append(out.Events, e)
		}
	}
	return out
}

func (p *prefixCache) serve(w http.ResponseWriter, r *http.Request) {
	seq, err := strconv.ParseInt(r.URL.Query().Get("after"), 10, 64)
	if err != nil {
		seq = 0
	}
	writeJSON(w, p.after(seq))
}
