package fakes

import (
	"container/list"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// BlockBytes is the length in bytes of a prompt block in the prefix cache.
const BlockBytes = 256

// maxCacheEvents is how many cache events are kept for readers.
const maxCacheEvents = 4096

// BlockHashes returns the hashes of the prefixes of the prompt that consist of full
// blocks, shortest first.
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

// CacheEvent reports that a prefix was stored in the cache or removed from it.
type CacheEvent struct {
	Seq  int64          `json:"seq"`
	Kind CacheEventKind `json:"kind"`
	Hash uint64         `json:"hash,string"`
	at   time.Time
}

// CacheEvents is the response to GET /cache/events?after=SEQ. A gap in the sequence
// numbers means that events were lost.
type CacheEvents struct {
	Events []CacheEvent `json:"events"`
}

// prefixCache is an LRU cache of prompt prefixes.
type prefixCache struct {
	mu        sync.Mutex
	max       int
	dropEvery int // see EngineConfig.DropEventEvery
	lag       time.Duration
	recency   *list.List // of hashes, least recently used first
	blocks    map[uint64]*list.Element
	events    []CacheEvent
	seq       int64
}

func newPrefixCache(c EngineConfig) *prefixCache {
	return &prefixCache{
		max: c.CacheBlocks, dropEvery: c.DropEventEvery, lag: c.ReportLag,
		recency: list.New(), blocks: map[uint64]*list.Element{},
	}
}

// use stores the blocks of the prompt in the cache and returns how many were missing.
func (p *prefixCache) use(prompt string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	missing := 0
	for _, h := range BlockHashes(prompt) {
		if at, ok := p.blocks[h]; ok {
			p.recency.MoveToBack(at)
			continue
		}
		missing++
		p.blocks[h] = p.recency.PushBack(h)
		p.record(CacheStored, h)
	}
	for p.recency.Len() > p.max {
		h := p.recency.Remove(p.recency.Front()).(uint64)
		delete(p.blocks, h)
		p.record(CacheRemoved, h)
	}
	return missing
}

// record adds a cache event, unless dropEvery drops it.
func (p *prefixCache) record(kind CacheEventKind, h uint64) {
	p.seq++
	if p.dropEvery > 0 && p.seq%int64(p.dropEvery) == 0 {
		return
	}
	p.events = append(p.events, CacheEvent{Seq: p.seq, Kind: kind, Hash: h, at: time.Now()})
	if len(p.events) > maxCacheEvents {
		p.events = p.events[len(p.events)-maxCacheEvents:]
	}
}

// eventsAfter returns the events after seq that are at least as old as the lag.
func (p *prefixCache) eventsAfter(seq int64) CacheEvents {
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
	writeJSON(w, p.eventsAfter(seq))
}
