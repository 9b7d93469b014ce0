package placer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/place"
	"gentianwell/io/kvs"
)

// elector takes and keeps the lease.
type elector struct {
	config  Config
	lease   kvs.LeaseID
	tenure  *place.Term
	renewed time.Time
	polled  time.Time
}

// step takes, keeps or drops the lease, whichever is due.
func (e *elector) step(ctx context.Context) error {
	now := e.config.Now()
	if e.tenure != nil && !e.tenure.Held(now) {
		e.drop()
	}
	switch {
	case e.tenure != nil && now.Sub(e.renewed) >= e.config.TTL/renewShare:
		return errors.Trace(e.renew(ctx, now))
	case e.tenure == nil && now.Sub(e.polled) >= e.config.TTL/pollShare:
		e.polled = now
		return errors.Trace(e.campaign(ctx))
	}
	return nil
}

// resign gives the lease back, so that another VM needs not wait for its end.
func (e *elector) resign() error {
	if e.tenure == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	err := e.config.Service.Revoke(ctx, e.lease)
	e.drop()
	return errors.Annotate(err, "elector.resign")
}

func (e *elector) drop() { e.tenure, e.lease = nil, 0 }

func (e *elector) renew(ctx context.Context, now time.Time) error {
	e.renewed = now
	ctx, cancel := context.WithDeadline(ctx, now.Add(e.config.TTL/renewShare))
	defer cancel()
	_, err := e.config.Service.Renew(ctx, e.lease)
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		e.drop()
	}
	if err != nil {
		return errors.Annotate(err, "elector.renew")
	}
	// It counts from the asking: the answer may have been long under way.
	e.tenure.Renewed(now)
	return nil
}

// campaign takes the lease if it is free. It looks first, since most of the VMs
// find it taken.
func (e *elector) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.config.TTL/pollShare)
	defer cancel()
	found, err := e.config.Service.Get(ctx, e.config.Key)
	if err != nil || found.Found {
		return errors.Annotate(err, "elector.campaign")
	}
	asked := e.config.Now()
	lease, err := e.config.Service.Grant(ctx, e.config.TTL)
	if err != nil {
		return errors.Annotate(err, "elector.campaign")
	}
	fencing, err := e.create(ctx, lease.ID)
	if err != nil || fencing == 0 {
		return errors.Annotate(err, "elector.campaign")
	}
	taken := e.config.Now()
	e.lease, e.renewed = lease.ID, asked
	e.tenure = place.NewTerm(e.config.tenure(), fencing, asked, taken)
	return nil
}

// create creates the key and returns its create revision, 0 if another VM was
// first. A lost reply is settled by the nonce.
func (e *elector) create(ctx context.Context, lease kvs.LeaseID) (int64, error) {
	value := []byte(string(e.config.VM) + " " + e.config.Nonce())
	txn := kvs.Txn{
		Compares: []kvs.Compare{kvs.Absent(e.config.Key)},
		Then:     []kvs.Op{kvs.Put(e.config.Key, value, lease)},
	}
	result, err := e.config.Service.Transact(ctx, txn)
	if err == nil && result.Succeeded {
		return int64(result.Revision), nil
	}
	if err == nil || errors.Is(err, kvs.ErrUnavailable) {
		return 0, errors.Trace(err)
	}
	found, err := e.config.Service.Get(ctx, e.config.Key)
	if err != nil || !found.Found || string(found.Entry.Value) != string(value) {
		return 0, errors.Trace(err)
	}
	return int64(found.Entry.CreateRevision), nil
}
