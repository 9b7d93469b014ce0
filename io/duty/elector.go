package duty

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/io/kvs"
)

// resignTimeout limits the time for revoking the lease.
const resignTimeout = time.Second

// ElectorConfig configures an Elector. Fields are required unless they are said to be optional.
type ElectorConfig struct {
	Service kvs.Service
	VM      call.VMID
	// Nonce returns a string that no other call on any VM ever returned.
	Nonce func() string
	// Now is the clock by which the lease is measured.
	Now func() time.Time
	// Key is the lease's key.
	Key string
	// TokenKey is the key of the last token given out, which begins with Key. It is optional:
	// without it, a term's token is the create revision of Key.
	TokenKey string
	// NextToken returns the token of a term after the last one in the store, and false if this
	// VM may not take the lease now. It is required with TokenKey.
	NextToken func(last int64) (int64, bool)
	// TTL is the lease's time to live. Margin is how much earlier the holder treats the lease
	// as expired.
	TTL, Margin time.Duration
	// RenewTimeout limits a renewal and CampaignTimeout an attempt to take the lease.
	RenewTimeout, CampaignTimeout time.Duration
	// ComparesValues is true if the store's transactions can compare the value of a key, which
	// costs less than to read it.
	ComparesValues bool
	// Era returns the greatest era of the store that its adapter has seen. It is optional: without
	// it, each renewal reads the key.
	Era func() int64
}

// Elector acquires and renews a lease. It is not safe for concurrent use.
type Elector struct {
	config ElectorConfig
	lease  kvs.LeaseID
	// value is the value of the lease's key, which no other term has, and revision the
	// revision at which this term wrote it.
	value    []byte
	revision kvs.Revision
	era      int64
	// term is nil while this VM doesn't hold the lease.
	term      *duty.Term
	renewedAt time.Time
}

// NewElector returns an elector that does not hold the lease.
func NewElector(c ElectorConfig) *Elector { return &Elector{config: c} }

// Term returns the present term; nil if this VM does not hold the lease.
func (e *Elector) Term() *duty.Term { return e.term }

// Revision returns the revision of the lease's key in the present term.
func (e *Elector) Revision() kvs.Revision { return e.revision }

// RenewedAt returns when the last renewal was requested, whether or not it succeeded.
func (e *Elector) RenewedAt() time.Time { return e.renewedAt }

// End ends the term without revoking the lease.
func (e *Elector) End() { e.term, e.lease, e.revision = nil, 0, 0 }

// Resign revokes the lease, so that another VM need not wait until it expires.
func (e *Elector) Resign() error {
	if e.term == nil {
		return nil
	}
	ctx, cancel := context.WithTimeout(context.Background(), resignTimeout)
	defer cancel()
	err := e.config.Service.Revoke(ctx, e.lease)
	e.End()
	return errors.Annotate(err, "Elector.Resign")
}

// Renew renews the lease. With check, it also reads the key if the store does not tell that it
// has not been restored.
//
// Errors: ErrLeaseLapsed if the term has ended; after any other error it goes on until it expires.
func (e *Elector) Renew(ctx context.Context, check bool) error {
	asked := e.config.Now()
	e.renewedAt = asked
	ctx, cancel := context.WithTimeout(ctx, e.config.RenewTimeout)
	defer cancel()
	_, err := e.config.Service.Renew(ctx, e.lease)
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		e.End()
	}
	if err != nil {
		return errors.Annotate(err, "Elector.Renew")
	}
	// A service that was restored from an older copy may have lost the key and given the
	// lease's id to another VM.
	if check || e.config.Era == nil || e.config.Era() != e.era {
		if err := e.checkKey(ctx); err != nil {
			return errors.Annotate(err, "Elector.Renew")
		}
	}
	// The term is extended from when the renewal was requested, since the response
	// may have been delayed.
	e.term.Renewed(asked)
	return nil
}

// checkKey checks that the lease's key is this term's, and ends the term if it is not.
func (e *Elector) checkKey(ctx context.Context) error {
	era, own := e.currentEra(), false
	if e.config.ComparesValues {
		result, err := e.config.Service.Transact(ctx, kvs.Txn{Compares: []kvs.Compare{kvs.HasValue(e.config.Key, e.value)}})
		if err != nil {
			return errors.Trace(err)
		}
		own = result.Succeeded
	} else {
		found, err := e.config.Service.Get(ctx, e.config.Key)
		if err != nil {
			return errors.Trace(err)
		}
		own = found.Found && string(found.Entry.Value) == string(e.value)
		e.revision = found.Entry.ModRevision
	}
	if !own {
		e.End()
		return errors.Annotate(kvs.ErrLeaseLapsed, "the lease's key is gone or another VM's")
	}
	e.era = era
	return nil
}

func (e *Elector) currentEra() int64 {
	if e.config.Era == nil {
		return 0
	}
	return e.config.Era()
}

// seen is what an attempt has read in the store.
type seen struct {
	// value is that of the lease's key; empty if the lease is free.
	value string
	// last is the last token given out, tokenRevision the revision of its key; zero if there is none.
	last          int64
	tokenRevision kvs.Revision
}

// Campaign acquires the lease if it is free. It reads the key first, since on most
// VMs the lease turns out to be held by another VM, and returns the value found.
func (e *Elector) Campaign(ctx context.Context) (held string, err error) {
	ctx, cancel := context.WithTimeout(ctx, e.config.CampaignTimeout)
	defer cancel()
	found, err := e.read(ctx)
	if err != nil || found.value != "" {
		return found.value, errors.Annotate(err, "Elector.Campaign")
	}
	next := int64(0)
	if e.config.TokenKey != "" {
		var ok bool
		if next, ok = e.config.NextToken(found.last); !ok {
			return "", nil
		}
	}
	asked, era := e.config.Now(), e.currentEra()
	lease, err := e.config.Service.Grant(ctx, e.config.TTL)
	if err != nil {
		return "", errors.Annotate(err, "Elector.Campaign")
	}
	value := []byte(string(e.config.VM) + " " + e.config.Nonce())
	if e.config.TokenKey != "" {
		value = append(value, " "+strconv.FormatInt(next, 10)...)
	}
	revision, err := e.createKey(ctx, lease.ID, value, next, found.tokenRevision)
	if err != nil || revision == 0 {
		return "", errors.Annotate(err, "Elector.Campaign")
	}
	taken := e.config.Now()
	ttl := e.config.TTL
	if lease.TTL > 0 {
		ttl = min(ttl, lease.TTL)
	}
	if next == 0 {
		next = int64(revision)
	}
	e.lease, e.value, e.revision, e.era, e.renewedAt = lease.ID, value, revision, era, asked
	e.term = duty.NewTerm(duty.TermConfig{TTL: ttl, Margin: e.config.Margin}, next, asked, taken)
	return "", nil
}

// read reads the lease's key and that of the last token.
func (e *Elector) read(ctx context.Context) (seen, error) {
	var out seen
	if e.config.TokenKey == "" {
		found, err := e.config.Service.Get(ctx, e.config.Key)
		if err == nil && found.Found {
			out.value = string(found.Entry.Value)
		}
		return out, errors.Trace(err)
	}
	snap, err := e.config.Service.List(ctx, e.config.Key)
	if err != nil {
		return out, errors.Trace(err)
	}
	for _, entry := range snap.Entries {
		switch entry.Key {
		case e.config.Key:
			out.value = string(entry.Value)
		case e.config.TokenKey:
			out.tokenRevision = entry.ModRevision
			if out.last, err = strconv.ParseInt(string(entry.Value), 10, 64); err != nil {
				return out, errors.NotValidf("value %q of %s (must be a number)", entry.Value, entry.Key)
			}
		}
	}
	return out, nil
}

// createKey creates the lease's key and returns its create revision, or 0 if another
// VM created it first. If the reply is lost, the nonce in the key's value shows
// whether this VM created it.
func (e *Elector) createKey(ctx context.Context, lease kvs.LeaseID, value []byte, token int64, tokenRevision kvs.Revision) (kvs.Revision, error) {
	txn := kvs.Txn{
		Compares: []kvs.Compare{kvs.Absent(e.config.Key)},
		Then:     []kvs.Op{kvs.Put(e.config.Key, value, lease)},
	}
	if e.config.TokenKey != "" {
		condition := kvs.Absent(e.config.TokenKey)
		if tokenRevision != 0 {
			condition = kvs.Unchanged(e.config.TokenKey, tokenRevision)
		}
		txn.Compares = append(txn.Compares, condition)
		txn.Then = append(txn.Then, kvs.Put(e.config.TokenKey, strconv.AppendInt(nil, token, 10), 0))
	}
	result, err := e.config.Service.Transact(ctx, txn)
	if err == nil && result.Succeeded {
		return result.Revision, nil
	}
	if err == nil || errors.Is(err, kvs.ErrUnavailable) {
		return 0, errors.Trace(err)
	}
	found, err := e.config.Service.Get(ctx, e.config.Key)
	if err != nil || !found.Found || string(found.Entry.Value) != string(value) {
		return 0, errors.Trace(err)
	}
	return found.Entry.CreateRevision, nil
}

// parseHolder returns the VM and the token in the value of the lease's key.
func parseHolder(value string) (call.VMID, int64, error) {
	fields := strings.Fields(value)
	if len(fields) != 3 {
		return "", 0, errors.NotValidf("value %q of the lease's key (must be VM, nonce and token)", value)
	}
	token, err := strconv.ParseInt(fields[2], 10, 64)
	if err != nil {
		return "", 0, errors.NotValidf("token in the value %q of the lease's key (must be a number)", value)
	}
	return call.VMID(fields[0]), token, nil
}
