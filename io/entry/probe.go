package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
)

const (
	// probeTimeout limits one read.
	probeTimeout = time.Second
	// probePrefix is a prefix without keys, so that the response is just the revision.
	probePrefix = "gentianwell/none/"
	// outageProbes is how many reads in a row have to fail in an outage. A single one may only
	// have met a connection that is dead.
	outageProbes = 2
	// maxSilentProbes is how many reads in a row follow one that got no response without a pause,
	// so that the end of an outage is noticed soon.
	maxSilentProbes = 10
	// slowProbe is the duration above which the store did not answer when a read began.
	slowProbe = probeTimeout / 2
	// isolatedAfter is how long after the last response of another VM this VM probes in
	// any case.
	isolatedAfter = 1500 * time.Millisecond
)

// probeResult is what came of a read of the store's revision.
type probeResult string

// The results of reads.
const (
	probeAnswered probeResult = "answered"
	probeFailed   probeResult = "failed"
)

// probe compares the mirrors with the store, because a watch may stop delivering without an
// error. One VM does so for all. Each mirror is compared by itself: its watch has a connection
// of its own, and events on another one say nothing about it.
type probe struct {
	list    func(ctx context.Context, prefix string) (kvs.Snapshot, error)
	members *members
	mirrors []*mirror.Mirror
	// push sends the other VMs the changes that are newer than a revision.
	push func(after kvs.Revision)
	// grace is how long the watches have to deliver a change themselves.
	grace time.Duration
	log   logrus.FieldLogger
	// recovered is called when the store answers again after an outage, with how long ago it
	// was last known to be down. In an outage in which the store is silent, no watch fails.
	recovered func(lastDown time.Duration)
	// observe is called with the result of each read of the revision.
	observe func(result probeResult)
	// running is true while check runs.
	running atomic.Bool
	// prober is the VM that probes as of the last tick; only start uses it.
	prober call.VMID
	// outage is that of the checks.
	outage mirror.Outage

	mu sync.Mutex
	// compared holds the greatest revision of the store as of which the copy of a prefix was found to
	// be complete: until the store has a newer one, it need not be compared again.
	compared map[string]kvs.Revision
	// pauses holds the least time between two comparisons of a prefix, if there is one, and startedAt
	// when the last one began; only check uses startedAt.
	pauses    map[string]time.Duration
	startedAt map[string]time.Time
}

// start starts a check if this VM is the prober and none is running; it does not wait
// for it.
func (p *probe) start(now time.Time) {
	p.logProber(now)
	if !p.isProber(now) || !p.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.running.Store(false)
		for range maxSilentProbes {
			if !p.check() {
				return
			}
		}
	}()
}

// isProber reports whether this VM probes: of the VMs that answer and can read the
// store, the one with the lowest id does. A VM that no other has answered recently
// probes for itself.
func (p *probe) isProber(now time.Time) bool {
	if !p.members.contactedWithin(now, isolatedAfter) {
		return true
	}
	if !p.members.storeUp() {
		return false
	}
	for _, other := range p.members.others() {
		if other.ID < p.members.self && !other.storeLost && !p.members.isUnreachable(other.ID) {
			return false
		}
	}
	return true
}

// logProber logs which VM probes for this one, if that has changed.
func (p *probe) logProber(now time.Time) {
	prober := p.members.self
	if !p.isProber(now) {
		for _, other := range p.members.others() {
			if other.ID < prober && !other.storeLost && !p.members.isUnreachable(other.ID) {
				prober = other.ID
			}
		}
	}
	if prober != p.prober {
		p.log.WithFields(logrus.Fields{"event": "prober", "prober": prober, "before": p.prober}).Info("another VM compares the watches with the store")
		p.prober = prober
	}
}

// check reads the store's revision and compares the mirrors that have not reached it. It
// reports whether the read got no response.
func (p *probe) check() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	snap, err := p.list(ctx, probePrefix)
	if err != nil {
		p.outage.Failed(began, err)
		p.observe(probeFailed)
		p.log.WithFields(logrus.Fields{"event": "probe"}).WithError(err).Debug("reading the store's revision failed")
		return errors.Is(err, context.DeadlineExceeded)
	}
	if time.Since(began) > slowProbe {
		p.outage.Failed(began, context.DeadlineExceeded)
	}
	if failures, lastDown := p.outage.End(); failures >= outageProbes {
		p.recovered(lastDown)
	}
	p.observe(probeAnswered)
	for _, m := range p.mirrors {
		if p.completeTo(m) < snap.Revision && p.mayCompare(m.Prefix(), began) {
			go p.compare(m)
		}
	}
	return false
}

// mayCompare reports whether a comparison of a prefix may begin now, and records that it does.
func (p *probe) mayCompare(prefix string, now time.Time) bool {
	pause := p.pauses[prefix]
	if pause == 0 {
		return true
	}
	if now.Sub(p.startedAt[prefix]) < pause {
		return false
	}
	if p.startedAt == nil {
		p.startedAt = map[string]time.Time{}
	}
	p.startedAt[prefix] = now
	return true
}

// completeTo returns the revision as of which the copy of a mirror is known to be complete.
func (p *probe) completeTo(m *mirror.Mirror) kvs.Revision {
	p.mu.Lock()
	defer p.mu.Unlock()
	return max(m.Revision(), p.compared[m.Prefix()])
}

func (p *probe) setCompared(prefix string, revision kvs.Revision) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.compared == nil {
		p.compared = map[string]kvs.Revision{}
	}
	p.compared[prefix] = max(p.compared[prefix], revision)
}

// compare reads the keys of a mirror, and calls refresh unless the mirror gets to know them
// within two grace periods. Of the store's changes only those of other keys may be newer than
// the mirror, so that its revision alone does not tell.
func (p *probe) compare(m *mirror.Mirror) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	list, err := p.list(ctx, m.Prefix())
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "probe", "prefix": m.Prefix()}).WithError(err).Debug("reading the keys of a mirror failed")
		return
	}
	for range probeGracePeriods {
		if !m.Lacks(list) {
			m.Confirm(began)
			p.setCompared(m.Prefix(), list.Revision)
			return
		}
		time.Sleep(p.grace)
	}
	p.refresh(m, list)
}

// age returns how long ago the mirror of a prefix was last known to be complete, zero if there is
// none or it has read nothing yet.
func (p *probe) age(prefix string) time.Duration {
	for _, m := range p.mirrors {
		if m.Prefix() == prefix {
			return m.Age()
		}
	}
	return 0
}

// probeGracePeriods is how often a watch gets the grace period to deliver a change: a watch that
// has just delivered one pauses for longer than one of them.
const probeGracePeriods = 2

// rereadTime is about as long as reading everything again takes.
const rereadTime = 150 * time.Millisecond

// refresh makes a mirror read everything again, and pushes the changes to the other VMs, unless
// its watch has delivered what a list has.
func (p *probe) refresh(m *mirror.Mirror, list kvs.Snapshot) {
	if !m.Lacks(list) {
		return
	}
	known := m.Revision()
	p.log.WithFields(logrus.Fields{
		"event": "probe", "prefix": m.Prefix(), "revision": list.Revision, "known": known, "age": m.Age().String(),
	}).Warn("a watch has missed a change, its keys are read again")
	m.Reread()
	time.AfterFunc(rereadTime, func() { p.push(known) })
}
