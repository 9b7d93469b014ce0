package entry

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/prober"
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
// error. One VM does so for all, and others take over if it does not (core/prober). Each mirror is
// compared by itself: its watch has a connection of its own, and events on another one say nothing
// about it. All VMs hear of each read (reads).
type probe struct {
	list    func(ctx context.Context, prefix string) (kvs.Snapshot, error)
	members *members
	mirrors []*mirror.Mirror
	// push sends the other VMs the changes that are newer than a revision.
	push func(after kvs.Revision)
	// reads tells the other VMs of each read.
	reads *reads
	// grace is how long the watches have to deliver a change themselves, interval the time between two
	// reads.
	grace, interval time.Duration
	// gossipFrom is the number of known VMs, this one included, from which only gossip tells of late reads
	// beside newer ones.
	gossipFrom int
	// replicaPrefix is the prefix of the list of replicas in the store.
	replicaPrefix string
	log           logrus.FieldLogger
	// recovered is called when the store answers again after an outage, with how long ago it
	// was last known to be down. In an outage in which the store is silent, no watch fails.
	recovered func(lastDown time.Duration)
	// observe is called with the reason and the result of each read of the revision, restarted with
	// each watch that delivers nothing and how that was noticed.
	observe   func(reason prober.Reason, result probeResult)
	restarted func(prefix string, noticed watchNotice)
	// running is true while check runs.
	running atomic.Bool
	// outage is that of the checks.
	outage mirror.Outage

	mu sync.Mutex
	// schedule is up to date as of scheduledAt; first is the first VM in its order.
	schedule    *prober.Schedule
	scheduledAt time.Time
	first       call.VMID
	// compared holds the greatest revision of the store as of which the copy of a prefix was found to
	// be complete: until the store has a newer one, it need not be compared again.
	compared map[string]kvs.Revision
	// pauses holds the least time between two comparisons of a prefix, if there is one, and startedAt
	// when the last one began; only check uses startedAt.
	pauses    map[string]time.Duration
	startedAt map[string]time.Time
}

// tick starts a check if one is due and none is running; it does not wait for it.
func (p *probe) tick(now time.Time) {
	if p.running.Load() {
		return
	}
	reason, due := p.due(now)
	if !due || !p.running.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.running.Store(false)
		for range maxSilentProbes {
			// Where another VM's turn was missed, one read without a response says little.
			if silent := p.check(reason); !silent || reason == prober.ReasonTakeover || reason == prober.ReasonLate {
				return
			}
		}
	}()
}

// readNow reads the store's revision, after a check that is running, and returns when it was answered or
// failed.
func (p *probe) readNow() {
	for !p.running.CompareAndSwap(false, true) {
		time.Sleep(readNowPause)
	}
	defer p.running.Store(false)
	p.check(prober.ReasonLate)
}

// readNowPause is how often readNow looks whether a check has ended.
const readNowPause = 5 * time.Millisecond

// due reports whether this VM has to probe now, and why.
func (p *probe) due(now time.Time) (prober.Reason, bool) {
	state := prober.State{Isolated: !p.members.contactedWithin(now, isolatedAfter), Age: p.oldest()}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateSchedule(now)
	reason, due := p.schedule.Due(now, state)
	if due && reason == prober.ReasonLate {
		p.log.WithFields(logrus.Fields{"event": "lateRead", "age": state.Age.String(), "heard": p.reads.lastHeard(now)}).Info("no read of the store by another VM confirms this VM's copy, it reads by itself")
	}
	return reason, due
}

// oldest returns the age of the oldest of the copies that this VM watches by itself, except for those
// that are compared at longer intervals; zero if there is none.
func (p *probe) oldest() time.Duration {
	var age time.Duration
	for _, m := range p.mirrors {
		if m.Watching() && p.pauses[m.Prefix()] == 0 {
			age = max(age, m.Age())
		}
	}
	return age
}

// isProber reports whether this VM is among those that probe first. A VM that no other has answered
// recently probes for itself.
func (p *probe) isProber(now time.Time) bool {
	if !p.members.contactedWithin(now, isolatedAfter) {
		return true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.updateSchedule(now)
	return p.schedule.InOrder()
}

// updateSchedule tells the schedule which VMs there are, if that is due; p.mu is held.
func (p *probe) updateSchedule(now time.Time) {
	if !p.scheduledAt.IsZero() && now.Sub(p.scheduledAt).Abs() < roleInterval {
		return
	}
	p.scheduledAt = now
	p.schedule.SetVMs(p.members.probers())
	if first := p.schedule.First(); first != p.first {
		p.log.WithFields(logrus.Fields{"event": "prober", "prober": first, "before": p.first, "others": p.schedule.Others()}).Info("another VM compares the watches with the store")
		p.first = first
	}
}

// heardRead records that another VM has begun a read at a time.
func (p *probe) heardRead(at time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.schedule.Heard(at)
}

// check reads the store's revision and compares the mirrors that have not reached it. It
// reports whether the read got no response.
func (p *probe) check(reason prober.Reason) bool {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	snap, err := p.list(ctx, probePrefix)
	p.mu.Lock()
	p.schedule.Answered(err == nil)
	p.mu.Unlock()
	if err != nil {
		p.outage.Failed(began, err)
		p.observe(reason, probeFailed)
		p.log.WithFields(logrus.Fields{"event": "probe"}).WithError(err).Debug("reading the store's revision failed")
		return errors.Is(err, context.DeadlineExceeded)
	}
	if time.Since(began) > slowProbe {
		p.outage.Failed(began, context.DeadlineExceeded)
	}
	if failures, lastDown := p.outage.End(); failures >= outageProbes {
		p.recovered(lastDown)
	}
	p.observe(reason, probeAnswered)
	p.compareAll(snap.Revision, began, reason)
	return false
}

// tellAfter is how long after a read the comparisons may take of which the other VMs are told together
// with it.
const tellAfter = 100 * time.Millisecond

// compareAll compares the mirrors that have not reached a revision that was read, and tells the other VMs
// of the read: once the comparisons are done or tellAfter is over, and again after one that took longer.
func (p *probe) compareAll(revision kvs.Revision, began time.Time, reason prober.Reason) {
	// If other VMs read in turn and only do not confirm the copies, all VMs may read late at a time: notices
	// of each of these reads to all VMs would be the square of their number.
	gossipOnly := reason == prober.ReasonLate && len(p.reads.peers())+1 >= p.gossipFrom && p.reads.heardOther(began) < p.interval+p.grace
	var comparisons sync.WaitGroup
	var told atomic.Bool
	for _, m := range p.mirrors {
		// A copy that other VMs keep up to date is compared by them.
		if m.Paused() {
			continue
		}
		if p.completeTo(m) >= revision {
			m.Confirm(began)
			continue
		}
		if !p.mayCompare(m.Prefix(), began) {
			continue
		}
		comparisons.Go(func() {
			p.compare(m, reason)
			if told.Load() {
				p.reads.tell(began, p.mirrors, gossipOnly)
			}
		})
	}
	done := make(chan struct{})
	go func() {
		comparisons.Wait()
		close(done)
	}()
	select {
	case <-done:
	case <-time.After(tellAfter):
	}
	told.Store(true)
	p.reads.tell(began, p.mirrors, gossipOnly)
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

// compare reads the keys of a mirror, and passes them on unless its watch delivers them within two
// grace periods. Of the store's changes only those of other keys may be newer than the mirror, so
// that its revision alone does not tell. A VM that does not read in its usual turn gives the watch no
// time: the change may have been made an interval earlier, or more.
func (p *probe) compare(m *mirror.Mirror, reason prober.Reason) {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	began := time.Now()
	list, err := p.list(ctx, m.Prefix())
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "probe", "prefix": m.Prefix()}).WithError(err).Debug("reading the keys of a mirror failed")
		return
	}
	graces := probeGracePeriods
	if (reason != prober.ReasonFirst && reason != prober.ReasonIsolated) || m.Age() > 2*p.interval {
		graces = 0
	}
	for range graces {
		if !m.Lacks(list) {
			break
		}
		time.Sleep(p.grace)
	}
	if !m.Lacks(list) {
		m.Confirm(began)
		p.setCompared(m.Prefix(), list.Revision)
		return
	}
	p.passOn(m, list, began, reason)
}

// mirror returns the mirror of a prefix, nil if there is none.
func (p *probe) mirror(prefix string) *mirror.Mirror {
	for _, m := range p.mirrors {
		if m.Prefix() == prefix {
			return m
		}
	}
	return nil
}

// age returns how long ago the mirror of a prefix was last known to be complete, zero if there is
// none or it has read nothing yet.
func (p *probe) age(prefix string) time.Duration {
	if m := p.mirror(prefix); m != nil {
		return m.Age()
	}
	return 0
}

// probeGracePeriods is how often a watch gets the grace period to deliver a change: a watch that
// has just delivered one pauses for longer than one of them.
const probeGracePeriods = 2

// passOn applies a list that a mirror lacks, pushes the changes of replicas to the other VMs, and restarts
// the watch that has not delivered them.
func (p *probe) passOn(m *mirror.Mirror, list kvs.Snapshot, readAt time.Time, reason prober.Reason) {
	known := m.Revision()
	p.log.WithFields(logrus.Fields{
		"event": "probe", "prefix": m.Prefix(), "revision": list.Revision, "known": known, "age": m.Age().String(), "reason": reason,
	}).Warn("a watch has missed a change, the keys that were read are in force")
	p.restarted(m.Prefix(), noticedByProbe)
	push := func() { p.push(known) }
	// Many VMs may read late at a time. The notice of the read tells the others of a configuration, and
	// records of crashes are not pushed.
	if reason == prober.ReasonLate && m.Prefix() != p.replicaPrefix {
		push = func() {}
	}
	if !m.Adopt(list, readAt) {
		m.Reread()
		time.AfterFunc(rereadTime, push)
		return
	}
	push()
	m.Rewatch()
}

// rereadTime is about as long as reading everything again takes.
const rereadTime = 150 * time.Millisecond
