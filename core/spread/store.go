// Package spread keeps small pieces of state that spread between entry VMs by
// gossip: each VM exchanges recent items with a few neighbours at a time, so
// that the messages of a VM do not grow with the number of VMs.
//
// # Usage
//
//	s := spread.New(spread.Config{Self: "e1", Rand: rng})
//	s.Put(now, spread.Item{ID: spread.ID{Kind: "state", Key: "e1"}, Version: 1, Value: v, Expires: exp})
//	for _, peer := range s.Targets(peers) {
//		heard := send(peer, s.Batch(now, len(peers)))
//		changed := s.Merge(now, heard)
//	}
//
// The package has no I/O; a Store may be used by several goroutines.
package spread

import (
	"cmp"
	"math/bits"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Config configures a Store.
type Config struct {
	Self call.VMID
	// Rand chooses neighbours.
	Rand *rand.Rand
	// Fanout is the number of neighbours at a time.
	Fanout int
	// BatchBytes bounds one message, MaxItems what is kept.
	BatchBytes int
	MaxItems   int
	// Join makes one item of two with the same ID; nil keeps the newer one. It
	// has to be commutative, associative and idempotent.
	Join func(kept, heard Item) Item
}

// Defaults fills in the fields left zero.
func (c *Config) Defaults() {
	if c.Fanout == 0 {
		c.Fanout = 2
	}
	if c.BatchBytes == 0 {
		c.BatchBytes = 1400
	}
	if c.MaxItems == 0 {
		c.MaxItems = 4096
	}
	if c.Join == nil {
		c.Join = newest
	}
}

// Validate checks the configuration.
func (c *Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: empty Self")
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: no Rand")
	case c.Fanout < 1 || c.BatchBytes < 1 || c.MaxItems < 1:
		return errors.NotValidf("Config.Validate: Fanout, BatchBytes and MaxItems below 1")
	}
	return nil
}

func newest(kept, heard Item) Item {
	if heard.newer(kept) {
		return heard
	}
	return kept
}

// resends is how often an item is sent for each doubling of the fleet.
const resends = 2

// coldItems is how many items that have been sent often enough ride along in a
// message, in turn, so that a VM that was cut off catches up.
const coldItems = 1

// Store keeps the items that this VM knows.
type Store struct {
	c     Config
	mu    sync.Mutex
	items map[ID]*held
	turn  int
}

// held is an item with how often it has been sent since it changed.
type held struct {
	item Item
	sent int
}

// New returns an empty store. It panics on a configuration that is not valid,
// which is a programming mistake.
func New(c Config) *Store {
	c.Defaults()
	if err := c.Validate(); err != nil {
		panic(errors.ErrorStack(err))
	}
	return &Store{c: c, items: map[ID]*held{}}
}

// Put stores an item of this VM and reports whether it changed anything.
func (s *Store) Put(now time.Time, item Item) bool {
	return len(s.Merge(now, Items{item})) > 0
}

// Merge takes in items and returns those that changed what is kept.
func (s *Store) Merge(now time.Time, items Items) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	var changed Items
	for _, item := range items {
		if !item.Expires.After(now) {
			continue
		}
		if kept, ok := s.merge(item); ok {
			changed = append(changed, kept)
		}
	}
	return changed
}

func (s *Store) merge(item Item) (Item, bool) {
	kept, ok := s.items[item.ID]
	if !ok {
		if len(s.items) >= s.c.MaxItems {
			return Item{}, false
		}
		s.items[item.ID] = &held{item: item}
		return item, true
	}
	joined := s.c.Join(kept.item, item)
	if joined.Version == kept.item.Version && string(joined.Value) == string(kept.item.Value) {
		if joined.Expires.After(kept.item.Expires) {
			kept.item.Expires = joined.Expires
		}
		return Item{}, false
	}
	kept.item, kept.sent = joined, 0
	return joined, true
}

func (s *Store) expire(now time.Time) {
	for id, h := range s.items {
		if !h.item.Expires.After(now) {
			delete(s.items, id)
		}
	}
}

// Get returns the item with the id.
func (s *Store) Get(now time.Time, id ID) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.items[id]
	if !ok || !h.item.Expires.After(now) {
		return Item{}, false
	}
	return h.item, true
}

// All returns the items of a kind, in the order of their keys.
func (s *Store) All(now time.Time, kind Kind) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all Items
	for id, h := range s.items {
		if id.Kind == kind && h.item.Expires.After(now) {
			all = append(all, h.item)
		}
	}
	slices.SortFunc(all, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Len returns the number of items kept.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.items)
}

// Batch returns the items for one message to one of n VMs: those sent least
// often first, and one of the others in turn.
func (s *Store) Batch(now time.Time, n int) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	hot, cold := s.split(resends * bits.Len(uint(n)))
	batch, room := s.take(nil, hot, s.c.BatchBytes, len(hot))
	if len(cold) > 0 {
		start := s.turn % len(cold)
		s.turn += coldItems
		batch, _ = s.take(batch, append(cold[start:], cold[:start]...), room, coldItems)
	}
	return batch
}

func (s *Store) split(limit int) (hot, cold []*held) {
	for _, h := range s.items {
		if h.sent < limit {
			hot = append(hot, h)
		} else {
			cold = append(cold, h)
		}
	}
	slices.SortFunc(hot, func(a, b *held) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), compareID(a.item.ID, b.item.ID))
	})
	slices.SortFunc(cold, func(a, b *held) int { return compareID(a.item.ID, b.item.ID) })
	return hot, cold
}

func (s *Store) take(batch Items, from []*held, room, most int) (Items, int) {
	for _, h := range from[:min(most, len(from))] {
		if h.item.size() > room {
			break
		}
		room -= h.item.size()
		h.sent++
		batch = append(batch, h.item)
	}
	return batch, room
}

func compareID(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
}
