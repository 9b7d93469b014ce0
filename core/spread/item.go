package spread

import (
	"bytes"
	"time"
)

// Kind separates the items of different subsystems.
type Kind string

// ID identifies an item.
type ID struct {
	Kind Kind
	Key  string
}

// Item is a piece of state that is replicated between VMs.
type Item struct {
	ID
	// Version orders the values of an item; the value with the highest one is kept.
	Version uint64
	Value   []byte
	// Expires is the time from which VMs drop the item.
	Expires time.Time
}

// Items is a list of items.
type Items []Item

// size is the approximate number of bytes that the item takes in a message.
func (i Item) size() int { return len(i.Kind) + len(i.Key) + len(i.Value) + itemOverhead }

// itemOverhead covers an item's version, expiry and framing, in bytes.
const itemOverhead = 24

// newer reports whether i replaces other. Items of equal version are ordered by
// value, so that all VMs keep the same one.
func (i Item) newer(other Item) bool {
	if i.Version != other.Version {
		return i.Version > other.Version
	}
	return bytes.Compare(i.Value, other.Value) > 0
}
