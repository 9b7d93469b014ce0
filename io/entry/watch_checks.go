package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
)

// watchNotice says how a watch that delivers nothing was noticed.
type watchNotice string

// The ways of noticing it.
const (
	noticedByProbe watchNotice = "probe"
	noticedByPeer  watchNotice = "peer"
)

// maxFruitlessRestarts limits the doublings of watchChecks.limit: where restarts are of no use, the
// store delivers nothing to any watch.
const maxFruitlessRestarts = 1

// watchChecks restarts this VM's watches that have not delivered what other VMs have told of. Without
// that, such a watch would deliver nothing until its time is over, and this VM would depend on the
// others until then.
type watchChecks struct {
	// limit is how long a watch has to deliver a change that another VM has told of.
	limit time.Duration
	// restarted is called with each restart.
	restarted func(prefix string, noticed watchNotice)
	log       logrus.FieldLogger

	mu sync.Mutex
	// pending has a key for each prefix whose watch is about to be checked, with what was heard since.
	pending map[string]*toldChange
	// last holds the last restart of the watch of each prefix.
	last map[string]watchRestart
}

// toldChange is a change that another VM told of at a time.
type toldChange struct {
	delivered func(m *mirror.Mirror) bool
	at        time.Time
}

// watchRestart is the restart of a watch that had delivered the changes up to a revision, and how
// often it was restarted since it had delivered the last of them.
type watchRestart struct {
	delivered kvs.Revision
	times     int
}

func newWatchChecks(limit time.Duration, restarted func(string, watchNotice), log logrus.FieldLogger) *watchChecks {
	return &watchChecks{limit: limit, restarted: restarted, log: log, pending: map[string]*toldChange{}, last: map[string]watchRestart{}}
}

// heard notices that another VM has told of a change that delivered reports whether the watch of a
// mirror has delivered. Of the changes that are heard of before a check, the last one is checked next.
func (c *watchChecks) heard(m *mirror.Mirror, delivered func(m *mirror.Mirror) bool) {
	c.check(m, toldChange{delivered, time.Now()})
}

func (c *watchChecks) check(m *mirror.Mirror, told toldChange) {
	if !m.Watching() || told.delivered(m) {
		return
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, waiting := c.pending[m.Prefix()]; waiting {
		c.pending[m.Prefix()] = &told
		return
	}
	c.pending[m.Prefix()] = nil
	limit := c.limit
	if last := c.last[m.Prefix()]; last.delivered == m.Delivered() {
		limit <<= min(last.times, maxFruitlessRestarts)
	}
	time.AfterFunc(time.Until(told.at.Add(limit)), func() { c.judge(m, told) })
}

// judge restarts the watch if it has still not delivered the change.
func (c *watchChecks) judge(m *mirror.Mirror, told toldChange) {
	c.mu.Lock()
	next := c.pending[m.Prefix()]
	delete(c.pending, m.Prefix())
	c.mu.Unlock()
	if !m.Watching() || told.delivered(m) {
		if next != nil {
			c.check(m, *next)
		}
		return
	}
	known := m.Delivered()
	c.log.WithFields(logrus.Fields{"event": "watchSilent", "prefix": m.Prefix(), "known": known, "age": m.Age().String()}).Warn("another VM has told of a change that the own watch has not delivered, the watch is restarted")
	c.mu.Lock()
	times := 1
	if last := c.last[m.Prefix()]; last.delivered == known {
		times += last.times
	}
	c.last[m.Prefix()] = watchRestart{known, times}
	c.mu.Unlock()
	c.restarted(m.Prefix(), noticedByPeer)
	m.Rewatch()
}
