package kvs

import (
	"time"

	"gentianwell/io/kvwire"
)

// wholeSeconds rounds up to seconds, the unit of a lease's time to live in the service.
func wholeSeconds(d time.Duration) int64 {
	return int64((d + time.Second - 1) / time.Second)
}

// rangeStart returns the first key of a prefix's range. To the service, a key of one
// zero byte means the lowest key.
func rangeStart(prefix string) []byte {
	if prefix == "" {
		return []byte{0}
	}
	return []byte(prefix)
}

func toEntry(kv kvwire.KeyValue) Entry {
	return Entry{
		Key: string(kv.Key), Value: kv.Value, Lease: LeaseID(kv.Lease),
		CreateRevision: Revision(kv.CreateRevision), ModRevision: Revision(kv.ModRevision),
	}
}

func toLookup(out kvwire.RangeResponse, revision Revision) Lookup {
	if len(out.Kvs) == 0 {
		return Lookup{Revision: revision}
	}
	return Lookup{Entry: toEntry(out.Kvs[0]), Found: true, Revision: revision}
}

func fromTxn(txn Txn) kvwire.TxnRequest {
	out := kvwire.TxnRequest{Success: fromOps(txn.Then), Failure: fromOps(txn.Else)}
	for _, c := range txn.Compares {
		out.Compare = append(out.Compare, fromCompare(c))
	}
	return out
}

func fromCompare(c Compare) kvwire.Compare {
	out := kvwire.Compare{Key: []byte(c.Key), Result: kvwire.ResultEqual}
	switch c.Target {
	case TargetCreate:
		out.Target, out.CreateRevision = kvwire.TargetCreate, int64(c.Revision)
	case TargetMod:
		out.Target, out.ModRevision = kvwire.TargetMod, int64(c.Revision)
	case TargetValue:
		out.Target, out.Value = kvwire.TargetValue, c.Value
	}
	return out
}

func fromOps(ops []Op) []kvwire.RequestOp {
	var out []kvwire.RequestOp
	for _, op := range ops {
		key := []byte(op.Key)
		switch op.Kind {
		case OpPut:
			put := &kvwire.PutRequest{Key: key, Value: op.Value, Lease: int64(op.Lease)}
			out = append(out, kvwire.RequestOp{Put: put})
		case OpDelete:
			out = append(out, kvwire.RequestOp{Delete: &kvwire.DeleteRequest{Key: key}})
		case OpGet:
			out = append(out, kvwire.RequestOp{Range: &kvwire.RangeRequest{Key: key}})
		}
	}
	return out
}
