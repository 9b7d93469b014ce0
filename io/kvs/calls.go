package kvs

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvwire"
)

func (g *Gateway) get(ctx context.Context, key string) (Lookup, error) {
	var out kvwire.RangeResponse
	if err := g.post(ctx, kvwire.PathRange, kvwire.RangeRequest{Key: []byte(key)}, &out); err != nil {
		return Lookup{}, errors.Annotate(err, "Gateway.get")
	}
	return toLookup(out, Revision(out.Header.Revision)), nil
}

func (g *Gateway) list(ctx context.Context, prefix string) (Snapshot, error) {
	in := kvwire.RangeRequest{Key: rangeStart(prefix), RangeEnd: kvwire.PrefixEnd(prefix)}
	var out kvwire.RangeResponse
	if err := g.post(ctx, kvwire.PathRange, in, &out); err != nil {
		return Snapshot{}, errors.Annotate(err, "Gateway.list")
	}
	snap := Snapshot{Revision: Revision(out.Header.Revision)}
	for _, kv := range out.Kvs {
		snap.Entries = append(snap.Entries, toEntry(kv))
	}
	return snap, nil
}

func (g *Gateway) transact(ctx context.Context, txn Txn) (TxnResult, error) {
	var out kvwire.TxnResponse
	if err := g.post(ctx, kvwire.PathTxn, fromTxn(txn), &out); err != nil {
		return TxnResult{}, errors.Annotate(err, "Gateway.transact")
	}
	result := TxnResult{Succeeded: out.Succeeded, Revision: Revision(out.Header.Revision)}
	for _, op := range out.Responses {
		if op.Range != nil {
			result.Lookups = append(result.Lookups, toLookup(*op.Range, result.Revision))
		}
	}
	return result, nil
}

func (g *Gateway) grant(ctx context.Context, ttl time.Duration) (Lease, error) {
	in := kvwire.LeaseRequest{TTL: wholeSeconds(ttl)}
	var out kvwire.LeaseResponse
	if err := g.post(ctx, kvwire.PathGrant, in, &out); err != nil {
		return Lease{}, errors.Annotate(err, "Gateway.grant")
	}
	return Lease{ID: LeaseID(out.ID), TTL: time.Duration(out.TTL) * time.Second}, nil
}

func (g *Gateway) renew(ctx context.Context, id LeaseID) (time.Duration, error) {
	var out kvwire.KeepAliveResponse
	if err := g.post(ctx, kvwire.PathKeepAlive, kvwire.LeaseRequest{ID: int64(id)}, &out); err != nil {
		return 0, errors.Annotate(err, "Gateway.renew")
	}
	if out.Result.TTL <= 0 {
		return 0, errors.Annotatef(ErrLeaseLapsed, "Gateway.renew: lease %d", id)
	}
	return time.Duration(out.Result.TTL) * time.Second, nil
}

func (g *Gateway) revoke(ctx context.Context, id LeaseID) error {
	var out kvwire.LeaseResponse
	if err := g.post(ctx, kvwire.PathRevoke, kvwire.LeaseRequest{ID: int64(id)}, &out); err != nil {
		return errors.Annotate(err, "Gateway.revoke")
	}
	return nil
}
