package quota

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

const (
	// maxForgetSpread limits the time within which the VMs forget a limit.
	maxForgetSpread = 5 * time.Minute
	// notableChange is the relative change of a limit of which other VMs are told at once.
	notableChange = 0.1
)

// Limits knows the limits that replicas name and this VM's part of them.
type Limits struct {
	c Config
	// limited is the number of replicas with a limit.
	limited atomic.Int64

	mu       sync.Mutex
	replicas map[call.ReplicaID]*state
	vms      []VM
}

// New returns Limits without replicas. Unset fields of the config get their defaults.
//
// Errors: NotValid.
func New(c Config) (*Limits, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "quota.New")
	}
	return &Limits{c: c, replicas: map[call.ReplicaID]*state{}}, nil
}

// SetReplicas sets the replicas that may be sent to. What is known of others is forgotten.
func (l *Limits) SetReplicas(list []Replica) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before := l.replicas
	l.replicas = make(map[call.ReplicaID]*state, len(list))
	for _, replica := range list {
		s := before[replica.ID]
		if s == nil {
			s = &state{}
		}
		s.Replica = replica
		l.replicas[replica.ID] = s
	}
	l.count()
}

// count updates the number of replicas with a limit; l.mu is held.
func (l *Limits) count() {
	n := int64(0)
	for _, s := range l.replicas {
		if s.limited {
			n++
		}
	}
	l.limited.Store(n)
}

// SetVMs sets the VMs that share the limits, this one included, in any order. Until it is
// called, and with an empty list, this VM holds no part of any limit. It reports whether the
// list has changed.
func (l *Limits) SetVMs(now time.Time, vms []VM) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if slices.Equal(l.vms, vms) {
		return false
	}
	l.vms = slices.Clone(vms)
	for _, s := range l.replicas {
		if s.limited {
			l.share(now, s)
		}
	}
	return true
}

// share sets this VM's part of a limit; l.mu is held.
func (l *Limits) share(now time.Time, s *state) {
	s.holders = holders(s.limit, l.c.MinShare, len(l.vms))
	rate := 0.0
	if isHolder(l.c.Self, l.vms, s.Replica, s.holders) {
		rate = s.limit / float64(s.holders)
	}
	s.tokens.setRate(now, rate, l.c.BurstTime)
}

// Allows reports whether a request may be sent to a replica now.
func (l *Limits) Allows(now time.Time, id call.ReplicaID) bool {
	if l.limited.Load() == 0 {
		return true
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[id]
	if s == nil || !s.limited {
		return true
	}
	if !now.Before(s.forgetAt) {
		l.end(s)
		return true
	}
	return s.tokens.has(now)
}

// Sent records that a request is sent to a replica.
func (l *Limits) Sent(now time.Time, id call.ReplicaID) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if s := l.replicas[id]; s != nil {
		s.sent(now, l.c.Window)
	}
}

// Holds reports whether this VM holds a part of a replica's limit.
func (l *Limits) Holds(id call.ReplicaID) bool {
	if l.limited.Load() == 0 {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[id]
	return s != nil && s.limited && s.tokens.rate > 0
}

// Totals returns the number of replicas with a limit and the sum of this VM's parts, in
// requests a second.
func (l *Limits) Totals() (replicas int, share float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, s := range l.replicas {
		if s.limited {
			replicas++
			share += s.tokens.rate
		}
	}
	return replicas, share
}

// Observe records an answer. It returns what has changed and, with tell, a record for the
// other VMs. An answer without a limit ends one only if its request was sent after the limit was
// last known to be in force: answers may overtake each other.
func (l *Limits) Observe(now time.Time, a Answer) (change Change, record Record, tell bool) {
	if a.Limit == nil && l.limited.Load() == 0 {
		return ChangeNone, Record{}, false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[a.Replica]
	switch {
	case s == nil:
		return ChangeNone, Record{}, false
	case a.Limit != nil && valid(*a.Limit):
		change, tell = l.named(now, s, *a.Limit)
	case a.Limit == nil && s.limited && a.Sent.After(s.knownAt):
		l.end(s)
		change, tell = ChangeEnded, true
	}
	if tell {
		s.version = max(s.version+1, uint64(now.UnixMilli()))
		s.toldAt = now
		record = Record{Replica: s.ID, Version: s.version}
		if s.limited {
			limit := s.limit
			record.Limit = &limit
		}
	}
	return change, record, tell
}

// Merge records what another VM tells. Records may arrive in any order and more than once.
func (l *Limits) Merge(now time.Time, r Record) Change {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.replicas[r.Replica]
	if s == nil || r.Version <= s.version {
		return ChangeNone
	}
	s.version, s.toldAt = r.Version, now
	if r.Limit != nil {
		change, _ := l.named(now, s, *r.Limit)
		return change
	}
	if !s.limited {
		return ChangeNone
	}
	l.end(s)
	return ChangeEnded
}

// named records that a replica names a limit. It reports whether other VMs have to be told;
// l.mu is held.
func (l *Limits) named(now time.Time, s *state, limit float64) (change Change, tell bool) {
	before := s.limit
	s.knownAt, s.forgetAt = now, now.Add(l.c.MaxAge+l.forgetSpread(limit))
	switch {
	case !s.limited:
		l.begin(now, s, limit)
		return ChangeBegun, true
	case limit == before:
		return ChangeNone, now.Sub(s.toldAt) >= l.c.TellInterval
	}
	s.limit = limit
	l.share(now, s)
	if limit < before {
		s.charge(now, l.c, 1)
	}
	notable := limit < before*(1-notableChange) || limit > before*(1+notableChange)
	return ChangeValue, notable || now.Sub(s.toldAt) >= l.c.TellInterval
}

// begin puts a limit in force; l.mu is held.
func (l *Limits) begin(now time.Time, s *state, limit float64) {
	s.limited, s.limit = true, limit
	l.limited.Add(1)
	s.tokens = bucket{at: now}
	l.share(now, s)
	s.tokens.balance = s.tokens.burst
	// What the other VMs have sent counts, too.
	s.charge(now, l.c, float64(max(1, len(l.vms)))/float64(s.holders))
}

// forgetSpread returns a random time by which a VM forgets a limit later than others.
func (l *Limits) forgetSpread(limit float64) time.Duration {
	spread := maxForgetSpread
	if limit > 0 {
		spread = min(spread, time.Duration(float64(len(l.vms))/limit*float64(time.Second)))
	}
	return time.Duration(l.c.Rand.Float64() * float64(spread))
}

// end forgets a limit; l.mu is held.
func (l *Limits) end(s *state) {
	s.limited, s.limit = false, 0
	s.tokens = bucket{}
	l.limited.Add(-1)
}
