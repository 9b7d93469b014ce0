package hint

import (
	"container/list"
	"slices"

	"gentianwell/core/call"
)

// reorderWindow is how far behind the last event's number a late event may be.
const reorderWindow = 1024

// Lookup returns up to MaxReplicas replicas that probably hold a prefix of the
// prompt, those with the longest first and, among them, the newest. Prefixes go
// from the shortest to the longest.
func (t *Table) Lookup(model call.Model, prefixes []uint64) Matches {
	t.mu.Lock()
	defer t.mu.Unlock()
	var out Matches
	for i := len(prefixes) - 1; i >= 0 && len(out) < t.c.MaxReplicas; i-- {
		element := t.entries[key{model, prefixes[i]}]
		if element == nil {
			continue
		}
		t.recent.MoveToFront(element)
		out = out.add(element.Value.(*entry), i+1)
	}
	return out[:min(len(out), t.c.MaxReplicas)]
}

func (m Matches) add(e *entry, prefixes int) Matches {
	for _, id := range e.replicas {
		known := slices.ContainsFunc(m, func(other Match) bool { return other.Replica == id })
		if !known {
			m = append(m, Match{Replica: id, Prefixes: prefixes})
		}
	}
	return m
}

// Sent remembers that a prompt with the prefixes was sent to the replica.
func (t *Table) Sent(model call.Model, prefixes []uint64, id call.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.add(model, prefixes, id)
}

func (t *Table) add(model call.Model, prefixes []uint64, id call.ReplicaID) {
	for _, prefix := range prefixes {
		t.addOne(key{model, prefix}, id)
	}
	for t.recent.Len() > t.c.MaxEntries {
		t.drop(t.recent.Back())
	}
}

func (t *Table) addOne(k key, id call.ReplicaID) {
	element := t.entries[k]
	if element == nil {
		t.entries[k] = t.recent.PushFront(&entry{key: k, replicas: []call.ReplicaID{id}})
		return
	}
	t.recent.MoveToFront(element)
	e := element.Value.(*entry)
	e.replicas = without(e.replicas, id)
	e.replicas = slices.Insert(e.replicas, 0, id)
	if len(e.replicas) > t.c.MaxReplicas {
		e.replicas = e.replicas[:t.c.MaxReplicas]
	}
}

func without(ids []call.ReplicaID, id call.ReplicaID) []call.ReplicaID {
	return slices.DeleteFunc(ids, func(other call.ReplicaID) bool { return other == id })
}

func (t *Table) drop(element *list.Element) {
	t.recent.Remove(element)
	delete(t.entries, element.Value.(*entry).key)
}

// Apply takes a cache event. A numbered event that is somewhat older than the
// last one of its replica is left out; it returns false. A number far below the
// last one means that the replica started anew. A gap is harmless: what was lost
// stays a wrong hint until it is replaced or drops out.
func (t *Table) Apply(e Event) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if e.Sequence != 0 && !t.advance(e) {
		return false
	}
	switch e.Kind {
	case KindStored:
		t.add(e.Model, e.Prefixes, e.Replica)
	case KindRemoved:
		t.remove(e)
	case KindCleared:
		t.forget(e.Replica)
	}
	return true
}

func (t *Table) advance(e Event) bool {
	last := t.last[e.Replica]
	if e.Sequence <= last && last-e.Sequence < reorderWindow {
		return false
	}
	t.last[e.Replica] = e.Sequence
	return true
}

func (t *Table) remove(e Event) {
	for _, prefix := range e.Prefixes {
		if element := t.entries[key{e.Model, prefix}]; element != nil {
			t.removeOne(element, e.Replica)
		}
	}
}

func (t *Table) removeOne(element *list.Element, id call.ReplicaID) {
	e := element.Value.(*entry)
	if e.replicas = without(e.replicas, id); len(e.replicas) == 0 {
		t.drop(element)
	}
}

// Forget removes every hint about a replica, because it is gone or restarted.
// The numbering of its events starts anew.
func (t *Table) Forget(id call.ReplicaID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	delete(t.last, id)
	t.forget(id)
}

func (t *Table) forget(id call.ReplicaID) {
	for element := t.recent.Front(); element != nil; {
		next := element.Next()
		t.removeOne(element, id)
		element = next
	}
}
