package fakekv

import (
	"bytes"
	"maps"
	"slices"
	"sort"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
)

type lease struct {
	ttl     time.Duration
	expires time.Time
}

type change struct {
	revision kvs.Revision
	event    kvs.Event
}

// store is the state of a Fake. It has no locking and no faults.
type store struct {
	revision  kvs.Revision
	compacted kvs.Revision
	entries   map[string]kvs.Entry
	leases    map[kvs.LeaseID]lease
	lastLease kvs.LeaseID
	history   []change
}

func newStore() *store {
	return &store{revision: 1, entries: map[string]kvs.Entry{}, leases: map[kvs.LeaseID]lease{}}
}

func (s *store) clone() *store {
	c := *s
	c.entries = maps.Clone(s.entries)
	c.leases = maps.Clone(s.leases)
	c.history = slices.Clone(s.history)
	return &c
}

// setEra moves all revisions to an era. A watch from a revision of an earlier one fails.
func (s *store) setEra(era int64) {
	if s.revision.Era() == era {
		return
	}
	in := func(r kvs.Revision) kvs.Revision { return kvs.MakeRevision(era, r.Number()) }
	s.revision, s.compacted = in(s.revision), in(s.compacted)
	for key, e := range s.entries {
		e.CreateRevision, e.ModRevision = in(e.CreateRevision), in(e.ModRevision)
		s.entries[key] = e
	}
	for i := range s.history {
		c := &s.history[i]
		c.revision = in(c.revision)
		c.event.Entry.CreateRevision, c.event.Entry.ModRevision = in(c.event.Entry.CreateRevision), in(c.event.Entry.ModRevision)
	}
}

// nextRevision increments the revision for a change and returns it.
func (s *store) nextRevision() kvs.Revision {
	s.revision++
	return s.revision
}

func (s *store) put(rev kvs.Revision, op kvs.Op) {
	e := kvs.Entry{Key: op.Key, Value: bytes.Clone(op.Value), CreateRevision: rev, ModRevision: rev, Lease: op.Lease}
	if old, ok := s.entries[op.Key]; ok {
		e.CreateRevision = old.CreateRevision
	}
	s.entries[op.Key] = e
	s.history = append(s.history, change{rev, kvs.Event{Kind: kvs.EventPut, Entry: e}})
}

func (s *store) remove(rev kvs.Revision, key string) {
	if _, ok := s.entries[key]; !ok {
		return
	}
	delete(s.entries, key)
	e := kvs.Entry{Key: key, ModRevision: rev}
	s.history = append(s.history, change{rev, kvs.Event{Kind: kvs.EventDelete, Entry: e}})
}

func (s *store) get(key string) kvs.Lookup {
	e, ok := s.entries[key]
	return kvs.Lookup{Entry: e, Found: ok, Revision: s.revision}
}

// listRange returns the entries from start to end, without end. An end of one zero byte
// means that the range has no end.
func (s *store) listRange(start, end string) kvs.Entries {
	var out kvs.Entries
	for key, e := range s.entries {
		if key >= start && (end == "\x00" || key < end) {
			out = append(out, e)
		}
	}
	sort.Slice(out, func(i, j int) bool { return out[i].Key < out[j].Key })
	return out
}

func (s *store) compareHolds(c kvs.Compare) bool {
	e, ok := s.entries[c.Key]
	switch c.Target {
	case kvs.TargetCreate:
		return e.CreateRevision == c.Revision
	case kvs.TargetMod:
		return e.ModRevision == c.Revision
	case kvs.TargetValue:
		return ok && bytes.Equal(e.Value, c.Value)
	}
	return false
}

func (s *store) transact(txn kvs.Txn) (kvs.TxnResult, error) {
	result := kvs.TxnResult{Succeeded: true}
	for _, c := range txn.Compares {
		result.Succeeded = result.Succeeded && s.compareHolds(c)
	}
	ops := txn.Then
	if !result.Succeeded {
		ops = txn.Else
	}
	if err := s.validate(ops); err != nil {
		return kvs.TxnResult{}, errors.Trace(err)
	}
	s.apply(ops, &result)
	result.Revision = s.revision
	return result, nil
}

// validate returns an error for operations that the real service refuses before any
// effect.
func (s *store) validate(ops []kvs.Op) error {
	seen := map[string]bool{}
	for _, op := range ops {
		if op.Kind == kvs.OpGet {
			continue
		}
		if seen[op.Key] {
			return errors.Annotatef(kvs.ErrUnavailable, "duplicate key %q", op.Key)
		}
		seen[op.Key] = true
		if _, ok := s.leases[op.Lease]; op.Lease != 0 && !ok {
			return errors.Annotatef(kvs.ErrLeaseLapsed, "lease %d", op.Lease)
		}
	}
	return nil
}

func (s *store) apply(ops []kvs.Op, result *kvs.TxnResult) {
	writes := slices.ContainsFunc(ops, func(op kvs.Op) bool { return op.Kind != kvs.OpGet })
	rev := s.revision
	if writes {
		rev = s.nextRevision()
	}
	for _, op := range ops {
		switch op.Kind {
		case kvs.OpPut:
			s.put(rev, op)
		case kvs.OpDelete:
			s.remove(rev, op.Key)
		case kvs.OpGet:
			result.Lookups = append(result.Lookups, s.get(op.Key))
		}
	}
}

func (s *store) grant(now time.Time, ttl time.Duration) kvs.Lease {
	s.lastLease++
	s.leases[s.lastLease] = lease{ttl: ttl, expires: now.Add(ttl)}
	return kvs.Lease{ID: s.lastLease, TTL: ttl}
}

func (s *store) renew(now time.Time, id kvs.LeaseID) (time.Duration, bool) {
	l, ok := s.leases[id]
	if !ok {
		return 0, false
	}
	s.leases[id] = lease{ttl: l.ttl, expires: now.Add(l.ttl)}
	return l.ttl, true
}

// revoke ends a lease, deletes its keys and reports whether it existed.
func (s *store) revoke(id kvs.LeaseID) bool {
	if _, ok := s.leases[id]; !ok {
		return false
	}
	delete(s.leases, id)
	rev := s.nextRevision()
	for key, e := range s.entries {
		if e.Lease == id {
			s.remove(rev, key)
		}
	}
	return true
}

// expireLeases revokes the expired leases and reports whether there were any.
func (s *store) expireLeases(now time.Time) bool {
	lapsed := false
	for id, l := range s.leases {
		if !l.expires.After(now) {
			lapsed = s.revoke(id) || lapsed
		}
	}
	return lapsed
}

func (s *store) compact() {
	s.compacted = s.revision
	s.history = nil
}

// eventsFrom returns the events of a range, starting at a revision.
func (s *store) eventsFrom(start, end string, from kvs.Revision) []kvs.Event {
	first := sort.Search(len(s.history), func(i int) bool { return s.history[i].revision >= from })
	var out []kvs.Event
	for _, c := range s.history[first:] {
		key := c.event.Entry.Key
		if strings.Compare(key, start) >= 0 && (end == "\x00" || key < end) {
			out = append(out, c.event)
		}
	}
	return out
}
