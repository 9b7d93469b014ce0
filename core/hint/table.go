package hint

import (
	"container/list"
	"slices"

	"gentianwell/core/call"
)

// reorderWindow is the distance in sequence numbers below which an older event
// counts as late. One that is further behind means that the replica restarted.
const reorderWindow = 1024

// Lookup returns up to MaxReplicas replicas that probably hold a prefix of the
// prompt: those with the longest prefix first and, among equals, the most recent
// first. The prefixes are ordered from the shortest to the longest.
func (t *Table) Lookup(model call.Model, prefixes []uint64) Matches {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Matches
	for i := len(prefixes) - 1; i >= 0 && len(out) < t.config.MaxReplicas; i-- {
		element := t.entries[key{model, prefixes[i]}]
		if element == nil {
			continue
		}
		t.byUse.MoveToFront(element)
		out = out.withReplicas(element.Value.(*entry), i+1)
	}
	return out[:min(len(out), t.config.MaxReplicas)]
}

// withReplicas adds the entry's replicas that are not in m yet.
func (m Matches) withReplicas(e *entry, prefixes int) Matches {
	for _, id := range e.replicas {
		known := slices.ContainsFunc(m, func(other Match) bool { return other.Replica == id })
		if !known {
			m = append(m, Match{Replica: id, Prefixes: prefixes})
		}
	}
	return m
}

// Sent records that a prompt with the prefixes was sent to the replica.
func (t *Table) Sent(model call.Model, prefixes []uint64, id call.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(model, prefixes, id)
}

func (t *Table) add(model call.Model, prefixes []uint64, id call.ReplicaID) {
	for _, prefix := range prefixes {
		t.addPrefix(key{model, prefix}, id)
	}
	for t.byUse.Len() > t.config.MaxEntries {
		t.evict(t.byUse.Back())
	}
}

func (t *Table) addPrefix(k key, id call.ReplicaID) {
	element := t.entries[k]
	if element == nil {
		t.entries[k] = t.byUse.PushFront(&entry{key: k, replicas: []call.ReplicaID{id}})
		return
	}
	t.byUse.MoveToFront(element)
	e := element.Value.(*entry)
	e.replicas = without(e.replicas, id)
	e.replicas = slices.Insert(e.replicas, 0, id)
	if len(e.replicas) > t.config.MaxReplicas {
		e.replicas = e.replicas[:t.config.MaxReplicas]
	}
}

func without(ids []call.ReplicaID, id call.ReplicaID) []call.ReplicaID {
	return slices.DeleteFunc(ids, func(other call.ReplicaID) bool { return other == id })
}

func (t *Table) evict(element *list.Element) {
	t.byUse.Remove(element)
	delete(t.entries, element.Value.(*entry).key)
}

// Apply applies a cache event and returns true. It ignores an event that is
// repeated or late, by its sequence number, and returns false. A sequence number
// at least reorderWindow below the last one means that the replica has restarted
// its numbering; the event is applied. A gap is harmless: a hint that a lost event
// would have corrected stays wrong until it is replaced or evicted.
func (t *Table) Apply(e Event) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Sequence != 0 && !t.acceptSequence(e) {
		return false
	}
	switch e.Kind {
	case KindStored:
		t.add(e.Model, e.Prefixes, e.Replica)
	case KindRemoved:
		t.remove(e)
	case KindCleared:
		t.removeAll(e.Replica)
	}
	return true
}

func (t *Table) acceptSequence(e Event) bool {
	last := t.lastSequence[e.Replica]
	if e.Sequence <= last && last-e.Sequence < reorderWindow {
		return false
	}
	t.lastSequence[e.Replica] = e.Sequence
	return true
}

func (t *Table) remove(e Event) {
	for _, prefix := range e.Prefixes {
		if element := t.entries[key{e.Model, prefix}]; element != nil {
			t.removeReplica(element, e.Replica)
		}
	}
}

func (t *Table) removeReplica(element *list.Element, id call.ReplicaID) {
	e := element.Value.(*entry)
	if e.replicas = without(e.replicas, id); len(e.replicas) == 0 {
		t.evict(element)
	}
}

// Forget removes every hint about a replica that is gone or has restarted. The
// numbering of its events may start again.
func (t *Table) Forget(id call.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.lastSequence, id)
	t.removeAll(id)
}

func (t *Table) removeAll(id call.ReplicaID) {
	for element := t.byUse.Front(); element != nil; {
		next := element.Next()
		t.removeReplica(element, id)
		element = next
	}
}
