package placer

import (
	"context"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/place"
	"gentianwell/io/kvs"
)

// elector acquires and renews the lease. The term is nil while this VM doesn't hold
// the lease.
type elector struct {
	config Config
	lease  kvs.LeaseID
	// value is the value of the lease's key, which no other term has.
	value     []byte
	term      *place.Term
	renewedAt time.Time
	polledAt  time.Time
}

// step ends an expired term, and renews the lease or tries to acquire it when that
// is due.
func (e *elector) step(ctx context.Context) error {
	now := e.config.Now()
	if e.term != nil && !e.term.Held(now) {
		e.endTerm()
	}
	switch {
	case e.term != nil && now.Sub(e.renewedAt) >= e.config.TTL/renewDivisor:
		return errors.Trace(e.renew(ctx, now))
	case e.term == nil && now.Sub(e.polledAt) >= e.config.TTL/pollDivisor:
		e.polledAt = now
		return errors.Trace(e.campaign(ctx))
	}
	return nil
}

// resign revokes the lease, so that another VM need not wait until it expires.
func (e *elector) resign() error {
	if e.term == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	err := e.config.Service.Revoke(ctx, e.lease)
	e.endTerm()
	return errors.Annotate(err, "elector.resign")
}

func (e *elector) endTerm() { e.term, e.lease = nil, 0 }

func (e *elector) renew(ctx context.Context, now time.Time) error {
	e.renewedAt = now
	ctx, cancel := context.WithDeadline(ctx, now.Add(e.config.TTL/renewDivisor))
	defer cancel()
	_, err := e.config.Service.Renew(ctx, e.lease)
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		e.endTerm()
	}
	if err != nil {
		return errors.Annotate(err, "elector.renew")
	}
	// A service that was restored from an older copy may have lost the key and given the
	// lease's id to another VM.
	held, err := e.config.Service.Transact(ctx, kvs.Txn{Compares: []kvs.Compare{kvs.HasValue(e.config.Key, e.value)}})
	if err != nil {
		return errors.Annotate(err, "elector.renew")
	}
	if !held.Succeeded {
		e.endTerm()
		return errors.Annotate(kvs.ErrLeaseLapsed, "elector.renew: the lease's key is gone or another VM's")
	}
	// The term is extended from when the renewal was requested, since the response
	// may have been delayed.
	e.term.Renewed(now)
	return nil
}

// campaign acquires the lease if it is free. It reads the key first, since on most
// VMs the lease turns out to be held by another VM.
func (e *elector) campaign(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, e.config.TTL/pollDivisor)
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
	value := []byte(string(e.config.VM) + " " + e.config.Nonce())
	fencingToken, err := e.createKey(ctx, lease.ID, value)
	if err != nil || fencingToken == 0 {
		return errors.Annotate(err, "elector.campaign")
	}
	taken := e.config.Now()
	e.lease, e.value, e.renewedAt = lease.ID, value, asked
	e.term = place.NewTerm(e.config.termConfig(), fencingToken, asked, taken)
	return nil
}

// createKey creates the lease's key and returns its create revision, or 0 if another
// VM created it first. If the reply is lost, the nonce in the key's value shows
// whether this VM created it.
func (e *elector) createKey(ctx context.Context, lease kvs.LeaseID, value []byte) (int64, error) {
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
