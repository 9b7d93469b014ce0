package route

import "time"

const (
	// heldMax is the number of prefixes in each of the two generations of a held: the older one
	// is dropped when the newer one is full.
	heldMax = 4096
	// heldCopies is the number of replicas remembered for each prefix.
	heldCopies = 4
)

// held is the belief which replicas hold which shared prefixes, by the calls that this VM has
// sent there, with the time of the last one. Its memory is bounded: 8,192 prefixes of 72 bytes.
type held struct {
	newer, older map[uint64]heldBy
}

// heldBy holds the replicas that were sent a prefix, as state.idHash, and the times of the last call
// in nanoseconds since 1970. It has no pointers, so that the garbage collector need not read it.
type heldBy struct {
	ids [heldCopies]uint64
	at  [heldCopies]int64
}

func (h *held) get(prefix uint64) heldBy {
	if e, ok := h.newer[prefix]; ok {
		return e
	}
	return h.older[prefix]
}

// sent records that a call with the prefix has been sent to a replica. Of more than heldCopies the
// one that got none for longest is forgotten.
func (h *held) sent(now time.Time, prefix, id uint64) {
	e := h.get(prefix)
	place := 0
	for i := range e.ids {
		if e.ids[i] == id {
			place = i
			break
		}
		if e.at[i] < e.at[place] {
			place = i
		}
	}
	e.ids[place], e.at[place] = id, now.UnixNano()
	h.put(prefix, e)
}

// forget records that a call with the prefix has failed on a replica.
func (h *held) forget(prefix, id uint64) {
	e := h.get(prefix)
	for i := range e.ids {
		if e.ids[i] == id {
			e.ids[i], e.at[i] = 0, 0
			h.put(prefix, e)
			return
		}
	}
}

func (h *held) put(prefix uint64, e heldBy) {
	if h.newer == nil {
		h.newer = make(map[uint64]heldBy)
	}
	if _, ok := h.newer[prefix]; !ok && len(h.newer) >= heldMax {
		h.newer, h.older = make(map[uint64]heldBy), h.newer
	}
	h.newer[prefix] = e
}

// age returns how long ago a replica was last sent the prefix.
func (e *heldBy) age(now time.Time, id uint64) (time.Duration, bool) {
	for i := range e.ids {
		if e.ids[i] == id {
			return time.Duration(now.UnixNano() - e.at[i]), true
		}
	}
	return 0, false
}

// copies returns the number of replicas that were sent the prefix less than heldTime ago.
func (e *heldBy) copies(now time.Time) (n int) {
	for i := range e.ids {
		if e.ids[i] != 0 && now.UnixNano()-e.at[i] < int64(heldTime) {
			n++
		}
	}
	return n
}

// newest returns the age of the newest belief, or false if there is none.
func (e *heldBy) newest(now time.Time) (time.Duration, bool) {
	var at int64
	for i := range e.ids {
		at = max(at, e.at[i])
	}
	return time.Duration(now.UnixNano() - at), at > 0
}
