// Package hint remembers which replicas probably hold which prompt prefixes in
// their caches. It learns from the requests that were sent to them and from their
// cache events, which arrive late and with gaps. A wrong hint costs no more than a
// cache miss. The memory is bounded; the least recently used prefixes are evicted
// first.
//
// # Usage
//
//	t := hint.New(hint.Config{MaxEntries: 100_000})
//	t.Sent("drafts", prefixes, "replica-1")
//	for _, m := range t.Lookup("drafts", prefixes) {
//		// m.Replica probably holds the first m.Prefixes prefixes
//	}
//	t.Apply(hint.Event{Kind: hint.KindRemoved, Model: "drafts", Replica: "replica-1", Prefixes: prefixes})
//
// A Table is safe for concurrent use.
package hint

import (
	"container/list"
	"sync"

	"gentianwell/core/call"
)

// The defaults of Config.
const (
	defaultMaxEntries  = 65536
	defaultMaxReplicas = 4
)

// Config configures a Table.
type Config struct {
	// MaxEntries limits the number of prefixes remembered.
	MaxEntries int
	// MaxReplicas limits the number of replicas remembered for each prefix, where
	// the most recent ones are kept, and the number of matches of a Lookup.
	MaxReplicas int
}

// Defaults returns the config with every field that is not positive set to its
// default.
func (c Config) Defaults() Config {
	if c.MaxEntries <= 0 {
		c.MaxEntries = defaultMaxEntries
	}
	if c.MaxReplicas <= 0 {
		c.MaxReplicas = defaultMaxReplicas
	}
	return c
}

// Match is a replica that probably holds the first Prefixes prefixes.
type Match struct {
	Replica  call.ReplicaID
	Prefixes int
}

// Matches lists the matches for one prompt, those with the most prefixes first.
type Matches []Match

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event. KindCleared means that the replica's cache is empty; the
// event's prefixes are ignored.
const (
	KindStored  EventKind = "stored"
	KindRemoved EventKind = "removed"
	KindCleared EventKind = "cleared"
)

// Event is a replica's message about its cache. Sequence rises by one with each
// event of the replica; zero means that the event has no sequence number.
type Event struct {
	Kind     EventKind
	Model    call.Model
	Replica  call.ReplicaID
	Prefixes []uint64
	Sequence uint64
}

// key identifies a prefix of a model.
type key struct {
	model  call.Model
	prefix uint64
}

// entry is a prefix with the replicas that probably hold it, the most recent first.
type entry struct {
	key      key
	replicas []call.ReplicaID
}

// Table holds the hints.
type Table struct {
	config  Config
	mu      sync.Mutex
	entries map[key]*list.Element
	// byUse holds the entries, the most recently used first.
	byUse *list.List
	// lastSequence is the sequence number of the last event applied for each
	// replica.
	lastSequence map[call.ReplicaID]uint64
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{
		config:       c.Defaults(),
		entries:      map[key]*list.Element{},
		byUse:        list.New(),
		lastSequence: map[call.ReplicaID]uint64{},
	}
}

// Len returns the number of prefixes remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.byUse.Len()
}
