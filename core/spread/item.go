package spread

import (
	"bytes"
	"time"
)

// Kind tells items of different parts apart.
type Kind string

// ID identifies an item.
type ID struct {
	Kind Kind
	Key  string
}

// Item is one piece of state that spreads between VMs.
type Item struct {
	ID
	// Version orders the values of one item; the greatest counts.
	Version uint64
	Value   []byte
	// Expires is when every VM forgets the item.
	Expires time.Time
}

// Items are several items.
type Items []Item

// size is the number of bytes that the item takes in a message, roughly.
func (i Item) size() int { return len(i.Kind) + len(i.Key) + len(i.Value) + itemOverhead }

// itemOverhead covers an item's version, expiry and framing, in bytes.
const itemOverhead = 24

// newer reports whether i replaces other. Equal versions are ordered by value,
// so that all VMs keep the same one.
func (i Item) newer(other Item) bool {
	if i.Version != other.Version {
		return i.Version > other.Version
	}
	return bytes.Compare(i.Value, other.Value) > 0
}
