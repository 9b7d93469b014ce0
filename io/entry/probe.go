package entry

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
)

const (
	// probeEvery is how often the store's revision is asked for: a change that no
	// watch tells of has to be in force two seconds later.
	probeEvery = 700 * time.Millisecond
	// probeTimeout bounds one question.
	probeTimeout = time.Second
	// probeKey is a prefix below which nothing lies: the answer is the revision.
	probeKey = "gentianwell/none/"
	// aloneAfter is how long after the last word of another VM this one asks too.
	aloneAfter = 1500 * time.Millisecond
)

// probe compares the store's revision with that of the copies, since a watch may
// fall silent without an error. One VM does so for all.
type probe struct {
	list    func(ctx context.Context, prefix string) (kvs.Snapshot, error)
	members *members
	mirrors []*mirror.Mirror
	// push tells the other VMs what is newer than a revision.
	push   func(than kvs.Revision)
	log    logrus.FieldLogger
	asking atomic.Bool
}

// round asks if it is this VM's turn; it returns at once.
func (p *probe) round(now time.Time) {
	if !p.mine(now) || !p.asking.CompareAndSwap(false, true) {
		return
	}
	go func() {
		defer p.asking.Store(false)
		p.ask()
	}()
}

// mine reports whether this VM is the one that asks: the first in the order of ids
// that answers and can read the store. A VM without others asks for itself.
func (p *probe) mine(now time.Time) bool {
	if !p.members.inTouch(now, aloneAfter) {
		return true
	}
	if !p.members.storeUp() {
		return false
	}
	for _, other := range p.members.others() {
		if other.ID < p.members.self && !other.storeLost && !p.members.isSilent(other.ID) {
			return false
		}
	}
	return true
}

func (p *probe) ask() {
	ctx, cancel := context.WithTimeout(context.Background(), probeTimeout)
	defer cancel()
	snap, err := p.list(ctx, probeKey)
	if err != nil {
		p.log.WithFields(logrus.Fields{"event": "probe"}).WithError(err).Debug("the store's revision could not be asked for")
		return
	}
	if snap.Revision > p.known() {
		time.AfterFunc(probeGrace, func() { p.refresh(snap.Revision) })
	}
}

const (
	// probeGrace is the time that a watch gets to bring a change by itself.
	probeGrace = 250 * time.Millisecond
	// readTime is about what reading everything anew takes.
	readTime = 150 * time.Millisecond
)

// known returns the newest revision that any copy has got to. All watches fall
// silent together, so that one that brings changes speaks for the others.
func (p *probe) known() kvs.Revision {
	var newest kvs.Revision
	for _, m := range p.mirrors {
		newest = max(newest, m.Revision())
	}
	return newest
}

// refresh has everything read anew, and passed on, where no watch has got as far
// as the revision.
func (p *probe) refresh(revision kvs.Revision) {
	known := p.known()
	if known >= revision {
		return
	}
	p.log.WithFields(logrus.Fields{"event": "probe", "revision": revision, "known": known}).Warn("watches are silent, everything is read anew")
	for _, m := range p.mirrors {
		m.Reread()
	}
	time.AfterFunc(readTime, func() { p.push(known) })
}
