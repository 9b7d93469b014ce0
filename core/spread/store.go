// Package spread replicates small pieces of state between entry VMs by gossip: in
// each round a VM exchanges recent items with a few neighbours, so that the number
// of messages per VM does not grow with the number of VMs.
//
// # Usage
//
//	s := spread.New(spread.Config{Self: "e1", Rand: rng})
//	s.Put(now, spread.Item{ID: spread.ID{Kind: "state", Key: "e1"}, Version: 1, Value: v, Expires: exp})
//	for _, peer := range s.Targets(peers) {
//		received := send(peer, s.Batch(now, len(peers)))
//		changed := s.Merge(now, received)
//	}
//
// The package has no I/O. A Store is safe for concurrent use.
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
	// Rand selects the neighbours of a round.
	Rand *rand.Rand
	// Fanout is the number of neighbours to exchange items with in one round.
	Fanout int
	// BatchBytes limits the size of a message with several items, MaxItems the number of
	// items kept.
	BatchBytes int
	MaxItems   int
	// Join merges two items with the same ID; nil keeps the newer one. It has to be
	// commutative, associative and idempotent.
	Join func(kept, received Item) Item
}

// Defaults sets every zero field, except Self and Rand, to its default.
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
//
// Errors: NotValid with the field's name.
func (c *Config) Validate() error {
	switch {
	case c.Self == "":
		return errors.NotValidf("Config.Validate: Self \"\" (must not be empty)")
	case c.Rand == nil:
		return errors.NotValidf("Config.Validate: Rand nil (must be set)")
	case c.Fanout < 1 || c.BatchBytes < 1 || c.MaxItems < 1:
		return errors.NotValidf("Config.Validate: Fanout %d, BatchBytes %d, MaxItems %d (each must be at least 1)",
			c.Fanout, c.BatchBytes, c.MaxItems)
	}
	return nil
}

func newest(kept, received Item) Item {
	if received.newer(kept) {
		return received
	}
	return kept
}

// sendsPerDoubling is how often a changed item is sent for each doubling of the
// number of VMs.
const sendsPerDoubling = 2

// catchUpItems is how many items that have been sent often enough are added to a
// message, in turn, so that a VM that was cut off catches up.
const catchUpItems = 1

// Store holds the items that this VM knows.
type Store struct {
	config  Config
	mu      sync.Mutex
	entries map[ID]*entry
	// nextCatchUp is the position, among the items sent often enough, of the next
	// one to add to a message.
	nextCatchUp int
}

// entry is an item with the number of times it was sent since it changed.
type entry struct {
	item Item
	sent int
}

// New returns an empty store. It panics if the configuration is not valid, which
// is a programming error.
func New(c Config) *Store {
	c.Defaults()
	if err := c.Validate(); err != nil {
		panic(errors.ErrorStack(err))
	}
	return &Store{config: c, entries: map[ID]*entry{}}
}

// Put stores an item of this VM and reports whether that changed the item kept.
func (s *Store) Put(now time.Time, item Item) bool {
	return len(s.Merge(now, Items{item})) > 0
}

// Merge merges items into the store and returns, as now kept, those that are new or
// changed. It ignores expired items, and new ones beyond MaxItems. If the join
// changes only the expiry, a later one is kept and the item is not returned.
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
	kept, ok := s.entries[item.ID]
	if !ok {
		if len(s.entries) >= s.config.MaxItems {
			return Item{}, false
		}
		s.entries[item.ID] = &entry{item: item}
		return item, true
	}
	joined := s.config.Join(kept.item, item)
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
	for id, e := range s.entries {
		if !e.item.Expires.After(now) {
			delete(s.entries, id)
		}
	}
}

// Get returns the item with the ID, unless it has expired.
func (s *Store) Get(now time.Time, id ID) (Item, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	e, ok := s.entries[id]
	if !ok || !e.item.Expires.After(now) {
		return Item{}, false
	}
	return e.item, true
}

// All returns the items of a kind that have not expired, in the order of their
// keys.
func (s *Store) All(now time.Time, kind Kind) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all Items
	for id, e := range s.entries {
		if id.Kind == kind && e.item.Expires.After(now) {
			all = append(all, e.item)
		}
	}
	slices.SortFunc(all, func(a, b Item) int { return cmp.Compare(a.Key, b.Key) })
	return all
}

// Len returns the number of items kept, including expired ones that have not been
// removed yet.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.entries)
}

// Batch returns the items for one message, where n is the number of VMs: first the
// items that have not been sent often enough yet, the least sent first, then one
// of the others in turn. It counts them as sent.
func (s *Store) Batch(now time.Time, n int) Items {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.expire(now)
	fresh, old := s.splitBySends(sendsPerDoubling * bits.Len(uint(n)))
	batch, room := s.appendFitting(nil, fresh, s.config.BatchBytes, len(fresh))
	if len(old) > 0 {
		start := s.nextCatchUp % len(old)
		s.nextCatchUp += catchUpItems
		batch, _ = s.appendFitting(batch, append(old[start:], old[:start]...), room, catchUpItems)
	}
	return batch
}

// splitBySends separates the items sent fewer than limit times since they changed
// from the others.
func (s *Store) splitBySends(limit int) (fresh, old []*entry) {
	for _, e := range s.entries {
		if e.sent < limit {
			fresh = append(fresh, e)
		} else {
			old = append(old, e)
		}
	}
	slices.SortFunc(fresh, func(a, b *entry) int {
		return cmp.Or(cmp.Compare(a.sent, b.sent), compareID(a.item.ID, b.item.ID))
	})
	slices.SortFunc(old, func(a, b *entry) int { return compareID(a.item.ID, b.item.ID) })
	return fresh, old
}

// appendFitting appends up to most items to the batch, until one does not fit into
// room bytes, and returns the batch and the room left. An item that is larger than a
// message is sent alone.
func (s *Store) appendFitting(batch Items, from []*entry, room, most int) (Items, int) {
	for _, e := range from[:min(most, len(from))] {
		if e.item.size() > room && (len(batch) > 0 || e.item.size() <= s.config.BatchBytes) {
			break
		}
		room -= e.item.size()
		e.sent++
		batch = append(batch, e.item)
	}
	return batch, room
}

func compareID(a, b ID) int {
	return cmp.Or(cmp.Compare(a.Kind, b.Kind), cmp.Compare(a.Key, b.Key))
}
