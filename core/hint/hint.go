// Package hint remembers which replica probably holds which prompt prefix in its
// cache. It is fed by what was sent where and by cache events, which come late
// and with gaps. What it says is a hint: a wrong one costs a cache miss. Its
// memory is bounded; the entries that were not used longest go first.
//
// # Usage
//
//	t := hint.New(hint.Config{MaxEntries: 100_000})
//	t.Sent("drafts", prefixes, "replica-1")
//	for _, m := range t.Lookup("drafts", prefixes) {
//		// m.Replica holds the first m.Prefixes prefixes, probably
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
	// MaxEntries bounds the remembered prefixes.
	MaxEntries int
	// MaxReplicas bounds the replicas remembered for each prefix, newest first.
	MaxReplicas int
}

// Defaults returns the config with its unset fields filled in.
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

// Matches are the matches for one prompt, longest first.
type Matches []Match

// EventKind is the kind of an Event.
type EventKind string

// The kinds of event. KindCleared: the replica's cache is empty, its prefixes
// do not matter.
const (
	KindStored  EventKind = "stored"
	KindRemoved EventKind = "removed"
	KindCleared EventKind = "cleared"
)

// Event is a replica's message about its cache. Sequence grows by one with each
// event of a replica; zero: it is not numbered.
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

// entry is a prefix with the replicas that probably hold it, newest first.
type entry struct {
	key      key
	replicas []call.ReplicaID
}

// Table is the bounded memory of hints.
type Table struct {
	c       Config
	mu      sync.Mutex
	entries map[key]*list.Element
	// recent holds the entries, the last used in front.
	recent *list.List
	// last is the number of each replica's last event.
	last map[call.ReplicaID]uint64
}

// New returns an empty table.
func New(c Config) *Table {
	return &Table{
		c:       c.Defaults(),
		entries: map[key]*list.Element{},
		recent:  list.New(),
		last:    map[call.ReplicaID]uint64{},
	}
}

// Len returns the number of prefixes remembered.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recent.Len()
}
