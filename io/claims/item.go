package claims

import (
	"time"

	"gentianwell/core/claim"
	"gentianwell/io/kvs"
)

// maxShared is how often a write may fail with others' conditions before it goes
// alone.
const maxShared = 2

// maxBatchBytes bounds the values of one transaction; the service's usual bound
// on a request is 1.5 MB.
const maxBatchBytes = 512 << 10

// item is one waiting write.
type item struct {
	key       string
	retention time.Duration
	write     claim.Write
	value     []byte
	reply     chan claim.Reply
	// shared counts the transactions that failed by others' conditions.
	shared int
}

// alone reports whether it has to be the only write of its transaction.
func (i *item) alone() bool { return i.shared >= maxShared }

func (i *item) compare() kvs.Compare {
	if i.write.IfRevision == 0 {
		return kvs.Absent(i.key)
	}
	return kvs.Unchanged(i.key, kvs.Revision(i.write.IfRevision))
}

// holds reports whether the condition held when the key was looked up.
func (i *item) holds(l kvs.Lookup) bool {
	if i.write.IfRevision == 0 {
		return !l.Found
	}
	return l.Found && int64(l.Entry.ModRevision) == i.write.IfRevision
}

// refused is the reply for a condition that didn't hold. A record that can't be
// read counts as another's claim: the call must not be run then.
func refused(l kvs.Lookup) claim.Reply {
	reply := claim.Reply{Result: claim.ResultRefused, Found: l.Found, Revision: int64(l.Entry.ModRevision)}
	if !l.Found {
		return reply
	}
	record, err := claim.DecodeRecord(l.Entry.Value)
	if err != nil {
		record = claim.Record{State: claim.StateClaimed, Attempt: "unreadable record"}
	}
	reply.Record = record
	return reply
}
