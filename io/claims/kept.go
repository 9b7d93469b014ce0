package claims

import (
	"context"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/claim"
	"gentianwell/io/kvs"
)

// maxKept limits the records that a VM keeps. The oldest go first.
const maxKept = 4096

// keptRecord is a record that this VM has written, or tried to write after a restore.
type keptRecord struct {
	request claim.Request
	record  claim.Record
	// era is the era of the service in which the record was written.
	era     int64
	written time.Time
}

// kept holds the records that this VM has written within Config.RestoreWindow, to write
// them again if the service comes back from an older copy.
type kept struct {
	config Config

	mu      sync.Mutex
	records map[string]keptRecord
	// order holds the keys of records, and maybe of some that were dropped, by age.
	order []string
	// era is the greatest era of the service that was seen, and since the time at which it
	// was first seen.
	era   int64
	since time.Time
}

func newKept(c Config) *kept { return &kept{config: c, records: map[string]keptRecord{}} }

// observe takes note of the service's era and reports whether it has risen. On a VM that
// has just started, an era other than the first may have begun just before.
func (k *kept) observe(r kvs.Revision) bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	rose := r.Era() > k.era
	if rose {
		k.config.Log.WithFields(logrus.Fields{
			"event": "claimsRestored", "oldEra": k.era, "newEra": r.Era(), "after": r.Number(), "kept": len(k.records),
		}).Warn("the platform came back from an older copy; writing the claims of this VM again")
		k.era, k.since = r.Era(), k.config.Now()
	}
	return rose
}

// restoring reports whether records may still be missing that other VMs write again.
func (k *kept) restoring() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.era > 0 && k.config.Now().Sub(k.since) < k.config.RestoreGrace
}

// keep keeps a record as written in an era, unless it is older than the one that is kept:
// a claim may be written again while its call ends.
func (k *kept) keep(req claim.Request, record claim.Record, era int64) {
	k.mu.Lock()
	defer k.mu.Unlock()
	key := req.Path()
	former, ok := k.records[key]
	if ok && former.record.Nonce == record.Nonce && former.record.State != claim.StateClaimed && record.State == claim.StateClaimed {
		return
	}
	if !ok {
		k.order = append(k.order, key)
	}
	k.records[key] = keptRecord{request: req, record: record, era: era, written: k.config.Now()}
	for len(k.order) > maxKept {
		delete(k.records, k.order[0])
		k.order = k.order[1:]
	}
}

// prune drops the records that any copy of the service has by now.
func (k *kept) prune() {
	k.mu.Lock()
	defer k.mu.Unlock()
	for len(k.order) > 0 {
		r, ok := k.records[k.order[0]]
		if ok && (r.era < k.era || k.config.Now().Sub(r.written) < k.config.RestoreWindow) {
			return
		}
		delete(k.records, k.order[0])
		k.order = k.order[1:]
	}
}

// lost returns the records that were written in an earlier era.
func (k *kept) lost() []keptRecord {
	k.mu.Lock()
	defer k.mu.Unlock()
	var out []keptRecord
	for _, key := range k.order {
		if r, ok := k.records[key]; ok && r.era < k.era {
			out = append(out, r)
		}
	}
	return out
}

func (k *kept) drop(r keptRecord) {
	k.mu.Lock()
	defer k.mu.Unlock()
	delete(k.records, r.request.Path())
}

func (k *kept) empty() bool {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.records) == 0
}

// restoreKept learns the service's era if this VM has records to lose, and writes them
// again after a restore.
func (c *Claims) restoreKept(ctx context.Context) {
	c.kept.prune()
	if c.kept.empty() {
		return
	}
	c.probe(ctx)
	var done sync.WaitGroup
	for _, r := range c.kept.lost() {
		done.Go(func() { c.restoreOne(ctx, r) })
	}
	done.Wait()
}

// probe learns the service's era.
func (c *Claims) probe(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	if lookup, err := c.config.Service.Get(ctx, c.config.Prefix); err == nil {
		c.writer.observe(lookup.Revision)
	}
}

// maxRestoreWrites bounds the writes of one record at a time: its creation, and over what
// was found instead.
const maxRestoreWrites = 3

// restoreOne writes a record again, unless the service has it. What it cannot decide now
// is tried again later.
func (c *Claims) restoreOne(ctx context.Context, r keptRecord) {
	ctx, cancel := context.WithTimeout(ctx, c.config.Timeout)
	defer cancel()
	w := claim.Write{Put: r.record}
	for range maxRestoreWrites {
		reply := c.writer.write(ctx, r.request, w)
		found := reply.Record
		switch {
		case reply.Result != claim.ResultRefused:
			// The writer keeps a record that was committed with its new era.
			return
		case !reply.Found:
			w.IfRevision = 0
			continue
		case found.Nonce == r.record.Nonce && (found.State == r.record.State || found.State == claim.StateFinished):
			c.kept.keep(r.request, found, kvs.Revision(reply.Revision).Era())
			return
		case found.Nonce != r.record.Nonce && found.State != claim.StateReleased && c.kept.restoring():
			// Another VM may give up a claim that it made before it knew of the restore.
			return
		case found.Nonce != r.record.Nonce && found.State != claim.StateReleased:
			c.kept.drop(r)
			c.config.Log.WithFields(logrus.Fields{
				"event": "claimLost", "request": r.request.ID, "team": r.request.Team, "model": r.request.Service, "by": found.Attempt,
			}).Error("a claim of this VM was lost in the restore of the platform, and its key was claimed again")
			return
		}
		w.IfRevision = reply.Revision
	}
}
