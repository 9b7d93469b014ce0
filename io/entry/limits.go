package entry

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/quota"
	"gentianwell/core/spread"
	"gentianwell/io/proxy"
)

// kindLimit is the kind of the gossip items for limits that replicas name. The key is the
// replica's id.
const kindLimit spread.Kind = "limit"

const (
	// limitItemTTL is how long a limit is gossiped. VMs that hear of it again and again tell
	// of it again.
	limitItemTTL = time.Minute
	// maxInvalidLimits limits the replicas whose invalid limits have been logged.
	maxInvalidLimits = 1024
)

// limits tells the other VMs of the limits that replicas name, and keeps the list of VMs that
// share them.
type limits struct {
	self  quota.VM
	quota *quota.Limits
	items *spread.Store
	// changed is called when this VM has begun or ceased to hold a part of a limit.
	changed func()
	log     logrus.FieldLogger

	mu sync.Mutex
	// invalid holds the replicas whose invalid limits have been logged.
	invalid map[call.ReplicaID]bool
}

// setVMs sets the VMs that share the limits: this one and others, or none while the list is
// not known to be complete.
func (l *limits) setVMs(now time.Time, others []member, known bool) {
	var vms []quota.VM
	if known {
		vms = append(vms, l.self)
		for _, other := range others {
			vms = append(vms, quota.VM{ID: other.ID, Zone: other.zone})
		}
		slices.SortFunc(vms, func(a, b quota.VM) int { return cmp.Compare(a.ID, b.ID) })
	}
	if l.quota.SetVMs(now, vms) {
		l.changed()
	}
}

// answered records what the header of a response says of a limit. Only a response with the
// replica's signature shows that it names none any more.
func (l *limits) answered(now time.Time, id call.ReplicaID, sent time.Time, info proxy.ResponseInfo) {
	switch {
	case info.InvalidLimit != "":
		l.logInvalid(id, info.InvalidLimit)
		return
	case info.Limit == nil && !info.Signed:
		return
	}
	change, record, tell := l.quota.Observe(now, quota.Answer{Replica: id, Sent: sent, Limit: info.Limit})
	if tell {
		l.items.Put(now, spread.Item{
			ID: spread.ID{Kind: kindLimit, Key: string(id)}, Version: record.Version, Value: record.Value(), Expires: now.Add(limitItemTTL),
		})
	}
	l.noteChange(id, change, info.Limit, "response")
}

// apply applies a record from another VM.
func (l *limits) apply(now time.Time, item spread.Item) {
	record, err := quota.ParseRecord(call.ReplicaID(item.Key), item.Version, item.Value)
	if err != nil {
		l.log.WithFields(logrus.Fields{"event": "limitRecord", "replica": item.Key}).WithError(err).Warn("record of a limit is not valid, it is ignored")
		return
	}
	l.noteChange(record.Replica, l.quota.Merge(now, record), record.Limit, "peer")
}

// noteChange logs that a limit has begun or ended.
func (l *limits) noteChange(id call.ReplicaID, change quota.Change, limit *float64, source string) {
	if change != quota.ChangeBegun && change != quota.ChangeEnded {
		return
	}
	l.changed()
	fields := logrus.Fields{"event": "limit", "replica": id, "change": change, "source": source, "held": l.quota.Holds(id)}
	if limit != nil {
		fields["limit"] = *limit
	}
	l.log.WithFields(fields).Info("limit of a backend server for all VMs together")
}

// logInvalid logs an invalid limit, once for each replica.
func (l *limits) logInvalid(id call.ReplicaID, text string) {
	l.mu.Lock()
	known := l.invalid[id] || len(l.invalid) >= maxInvalidLimits
	if !known {
		if l.invalid == nil {
			l.invalid = map[call.ReplicaID]bool{}
		}
		l.invalid[id] = true
	}
	l.mu.Unlock()
	if !known {
		l.log.WithFields(logrus.Fields{"event": "limitInvalid", "replica": id, "value": text}).
			Warn("backend server names a limit that is not a decimal number of at least 0, it is ignored")
	}
}
