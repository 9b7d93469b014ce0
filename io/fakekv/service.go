package fakekv

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

// Service returns the stand-in's calls within the process: the same faults
// without sockets, so that a test under testing/synctest can use it.
func (f *Fake) Service() kvs.Service {
	return kvs.Service{
		Get: f.get, List: f.list, Transact: f.transact,
		Grant: f.grant, Renew: f.renew, Revoke: f.revoke, Watch: f.watch,
	}
}

// wait takes as long as the delay says. A call given up meanwhile has no effect.
func (f *Fake) wait(ctx context.Context) error {
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
	if err := f.wait(ctx); err != nil {
		return kvs.Lookup{}, errors.Trace(err)
	}
	var out kvs.Lookup
	err := f.read(func(s *store) { out = s.get(key) })
	return out, errors.Trace(err)
}

func (f *Fake) list(ctx context.Context, prefix string) (kvs.Snapshot, error) {
	return f.between(ctx, prefix, string(kvwire.PrefixEnd(prefix)))
}

func (f *Fake) between(ctx context.Context, start, end string) (kvs.Snapshot, error) {
	if err := f.wait(ctx); err != nil {
		return kvs.Snapshot{}, errors.Trace(err)
	}
	var out kvs.Snapshot
	err := f.read(func(s *store) {
		out = kvs.Snapshot{Entries: s.between(start, end), Revision: s.revision}
	})
	return out, errors.Trace(err)
}

func (f *Fake) transact(ctx context.Context, txn kvs.Txn) (kvs.TxnResult, error) {
	if err := f.wait(ctx); err != nil {
		return kvs.TxnResult{}, errors.Trace(err)
	}
	var out kvs.TxnResult
	err := f.change(func(c *Counts) { c.Txns++ }, func(s *store) (err error) {
		out, err = s.transact(txn)
		return err
	})
	if err != nil {
		return kvs.TxnResult{}, errors.Trace(err)
	}
	return out, nil
}

func (f *Fake) grant(ctx context.Context, ttl time.Duration) (kvs.Lease, error) {
	if err := f.wait(ctx); err != nil {
		return kvs.Lease{}, errors.Trace(err)
	}
	var out kvs.Lease
	err := f.change(countLease, func(s *store) error {
		out = s.grant(f.now(), ttl)
		return nil
	})
	if err != nil {
		return kvs.Lease{}, errors.Trace(err)
	}
	return out, nil
}

func (f *Fake) renew(ctx context.Context, id kvs.LeaseID) (time.Duration, error) {
	if err := f.wait(ctx); err != nil {
		return 0, errors.Trace(err)
	}
	var out time.Duration
	err := f.change(countLease, func(s *store) error {
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
	if err := f.wait(ctx); err != nil {
		return errors.Trace(err)
	}
	return errors.Trace(f.change(countLease, func(s *store) error {
		if !s.revoke(id) {
			return errors.Annotatef(kvs.ErrLeaseLapsed, "lease %d", id)
		}
		return nil
	}))
}

func countLease(c *Counts) { c.Leases++ }
