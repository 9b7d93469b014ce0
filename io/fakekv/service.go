package fakekv

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

// Service returns the fake's calls for use within the process. They have the same
// faults but use no sockets, so that tests under testing/synctest can use them.
func (f *Fake) Service() kvs.Service {
	return kvs.Service{
		Get: f.get, List: f.list, Transact: f.transact,
		Grant: f.grant, Renew: f.renew, Revoke: f.revoke, Watch: f.watch,
	}
}

// waitDelay waits for the delay of calls. If ctx ends meanwhile, it returns an error and
// the call has no effect.
func (f *Fake) waitDelay(ctx context.Context) error {
	d := f.delay()
	if d <= 0 {
		return nil
	}
	select {
	case <-time.After(d):
		return nil
	case <-ctx.Done():
		return errors.WithType(ctx.Err(), kvs.ErrUnknown)
	}
}

func (f *Fake) get(ctx context.Context, key string) (kvs.Lookup, error) {
	if err := f.waitDelay(ctx); err != nil {
		return kvs.Lookup{}, errors.Trace(err)
	}
	var out kvs.Lookup
	err := f.doRead(func(s *store) { out = s.get(key) })
	return out, errors.Trace(err)
}

func (f *Fake) list(ctx context.Context, prefix string) (kvs.Snapshot, error) {
	return f.listRange(ctx, prefix, string(kvwire.PrefixEnd(prefix)))
}

func (f *Fake) listRange(ctx context.Context, start, end string) (kvs.Snapshot, error) {
	if err := f.waitDelay(ctx); err != nil {
		return kvs.Snapshot{}, errors.Trace(err)
	}
	var out kvs.Snapshot
	err := f.doRead(func(s *store) {
		out = kvs.Snapshot{Entries: s.listRange(start, end), Revision: s.revision}
	})
	return out, errors.Trace(err)
}

func (f *Fake) transact(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
	if err := f.waitDelay(ctx); err != nil {
		return kvs.TxnResult{}, errors.Trace(err)
	}
	var out kvs.TxnResult
	err := f.doChange(func(c *Counts) { c.Txns++ }, func(s *store) (err error) {
		out, err = s.transact(txn)
		return err
	})
	if err != nil {
		return kvs.TxnResult{}, errors.Trace(err)
	}
	return out, nil
}

func (f *Fake) grant(ctx context.Context, ttl time.Duration) (kvs.Lease, error) {
	if err := f.waitDelay(ctx); err != nil {
		return kvs.Lease{}, errors.Trace(err)
	}
	var out kvs.Lease
	err := f.doChange(countLease, func(s *store) error {
		out = s.grant(f.now(), ttl)
		return nil
	})
	if err != nil {
		return kvs.Lease{}, errors.Trace(err)
	}
	return out, nil
}

func (f *Fake) renew(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
	if err := f.waitDelay(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	var out time.Duration
	err := f.doChange(countLease, func(s *store) error {
		ttl, ok := s.renew(f.now(), id)
		if !ok {
			return errors.Annotatef(kvs.ErrLeaseLapsed, "lease %d", id)
		}
		out = ttl
		return nil
	})
	return out, errors.Trace(err)
}

func (f *Fake) revoke(ctx context.Context, id kvs.LeaseID) error {
	if err := f.waitDelay(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.doChange(countLease, func(s *store) error {
		if !s.revoke(id) {
			return errors.Annotatef(kvs.ErrLeaseLapsed, "lease %d", id)
		}
		return nil
	}))
}

func countLease(c *Counts) { c.Leases++ }
