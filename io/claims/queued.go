package claims

import (
	"gentianwell/core/claim"
	"gentianwell/io/kvs"
)

// maxSharedFailures is how often a write may fail because of the conditions of other
// writes in its transaction before it gets a transaction of its own.
const maxSharedFailures = 2

// maxBatchBytes limits the total size of the values in one transaction. The service's
// usual limit on a request is 1.5 MB.
const maxBatchBytes = 512 << 10

// queuedWrite is a write that waits for a transaction or for the result of one.
type queuedWrite struct {
	key     string
	request claim.Request
	write   claim.Write
	value   []byte
	reply   chan claim.Reply
	// sharedFailures counts the transactions in which the write failed only because
	// of the conditions of other writes.
	sharedFailures int
}

// needsOwnTxn reports whether the write must be the only one in its transaction.
func (q *queuedWrite) needsOwnTxn() bool { return q.sharedFailures >= maxSharedFailures }

// compare returns the condition of the write.
func (q *queuedWrite) compare() kvs.Compare {
	if q.write.IfRevision == 0 {
		return kvs.Absent(q.key)
	}
	return kvs.Unchanged(q.key, kvs.Revision(q.write.IfRevision))
}

// conditionMet reports whether the lookup of the key meets the write's condition.
func (q *queuedWrite) conditionMet(l kvs.Lookup) bool {
	if q.write.IfRevision == 0 {
		return !l.Found
	}
	return l.Found && int64(l.Entry.ModRevision) == q.write.IfRevision
}

// refusedReply returns the reply to a write whose condition was not met. A record
// that can't be decoded counts as a claim of another attempt, so that the call is
// not run.
func refusedReply(l kvs.Lookup) claim.Reply {
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
