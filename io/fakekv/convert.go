package fakekv

import (
	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

func header(rev kvs.Revision) kvwire.Header { return kvwire.Header{Revision: int64(rev)} }

func fromEntry(e kvs.Entry) kvwire.KeyValue {
	return kvwire.KeyValue{
		Key: []byte(e.Key), Value: e.Value, Lease: int64(e.Lease),
		CreateRevision: int64(e.CreateRevision), ModRevision: int64(e.ModRevision),
	}
}

func fromEntries(entries kvs.Entries, rev kvs.Revision) kvwire.RangeResponse {
	out := kvwire.RangeResponse{Header: header(rev), Count: int64(len(entries))}
	for _, e := range entries {
		out.Kvs = append(out.Kvs, fromEntry(e))
	}
	return out
}

func fromLookup(l kvs.Lookup) kvwire.RangeResponse {
	if !l.Found {
		return fromEntries(nil, l.Revision)
	}
	return fromEntries(kvs.Entries{l.Entry}, l.Revision)
}

func fromBatch(b kvs.Batch) kvwire.WatchResponse {
	out := kvwire.WatchResponse{Header: header(b.Revision)}
	for _, e := range b.Events {
		event := kvwire.Event{Kv: fromEntry(e.Entry)}
		if e.Kind == kvs.EventDelete {
			event.Type = kvwire.TypeDelete
		}
		out.Events = append(out.Events, event)
	}
	return out
}

func toTxn(in kvwire.TxnRequest) kvs.Txn {
	out := kvs.Txn{Then: toOps(in.Success), Else: toOps(in.Failure)}
	for _, c := range in.Compare {
		out.Compares = append(out.Compares, toCompare(c))
	}
	return out
}

func toCompare(c kvwire.Compare) kvs.Compare {
	switch c.Target {
	case kvwire.TargetMod:
		return kvs.Unchanged(string(c.Key), kvs.Revision(c.ModRevision))
	case kvwire.TargetValue:
		return kvs.HasValue(string(c.Key), c.Value)
	default:
		created := kvs.Revision(c.CreateRevision)
		return kvs.Compare{Key: string(c.Key), Target: kvs.TargetCreate, Revision: created}
	}
}

func toOps(ops []kvwire.RequestOp) []kvs.Op {
	var out []kvs.Op
	for _, op := range ops {
		switch {
		case op.Put != nil:
			out = append(out, kvs.Put(string(op.Put.Key), op.Put.Value, kvs.LeaseID(op.Put.Lease)))
		case op.Delete != nil:
			out = append(out, kvs.Delete(string(op.Delete.Key)))
		case op.Range != nil:
			out = append(out, kvs.Get(string(op.Range.Key)))
		}
	}
	return out
}
