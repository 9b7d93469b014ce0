package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

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

// probe compares the store's revision with those of the mirrors, because a watch may
// stop delivering without an error. One VM does so for all.
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
	// running is true while check runs.
	running atomic.Bool
	// outage is that of the checks.
	outage mirror.Outage
}

// start starts a check if this VM is the prober and none is running; it does not wait
// for it.
func (p *probe) start(now time.Time) {
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

// check reads the store's revision and calls refresh if the mirrors are behind it. It reports
// whether the read got no response.
func (p *probe) check() bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	snap, err := p.list(ctx, probePrefix)
	if err != nil {
		p.outage.Failed(began, err)
		p.log.WithFields(logrus.Fields{"event": "probe"}).WithError(err).Debug("reading the store's revision failed")
		return errors.Is(err, context.DeadlineExceeded)
	}
	if time.Since(began) > slowProbe {
		p.outage.Failed(began, context.DeadlineExceeded)
	}
	if failures, lastDown := p.outage.End(); failures >= outageProbes {
		p.recovered(lastDown)
	}
	if snap.Revision > p.newestRevision() {
		time.AfterFunc(p.grace, func() { p.refresh(snap.Revision) })
	}
	return false
}

// rereadTime is about as long as reading everything again takes.
const rereadTime = 150 * time.Millisecond

// newestRevision returns the newest revision of the mirrors. All watches stop delivering
// together, so one that delivers shows that the others do too.
func (p *probe) newestRevision() kvs.Revision {
	var newest kvs.Revision
	for _, m := range p.mirrors {
		newest = max(newest, m.Revision())
	}
	return newest
}

// refresh makes the mirrors read everything again, and pushes the changes to the other
// VMs, unless a watch has reached the revision.
func (p *probe) refresh(revision kvs.Revision) {
	known := p.newestRevision()
	if known >= revision {
		return
	}
	p.log.WithFields(logrus.Fields{"event": "probe", "revision": revision, "known": known}).Warn("watches have missed a change, everything is read again")
	for _, m := range p.mirrors {
		m.Reread()
	}
	time.AfterFunc(rereadTime, func() { p.push(known) })
}
