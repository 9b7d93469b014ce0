package entry

import (
	"github.com/sirupsen/logrus"

	"gentianwell/io/kvs"
)

// storeRestored handles that the store came back from an older copy, which the mirror of a
// prefix was the first to read. Entries of replicas that are missing now come back as after
// an outage, this VM's own records are written again, and the other mirrors read all keys.
// It does nothing if another mirror has seen this era before.
func (e *Entry) storeRestored(prefix string, before, after kvs.Revision) {
	if !e.noteEra(prefix, after.Era()) {
		return
	}
	e.readers.distrust(e.options.Now())
	records, streams := e.crashes.writeAgain(), e.origins.writeAgain()
	for _, m := range e.probe.mirrors {
		if m.Prefix() != prefix {
			m.Reread()
		}
	}
	e.metrics.storeRestores.Inc()
	e.log.WithFields(logrus.Fields{
		"event": "storeRestored", "prefix": prefix, "oldEra": before.Era(), "newEra": after.Era(),
		"before": before.Number(), "after": after.Number(), "crashRecords": records, "streamRecords": streams,
	}).Warn("the store was restored from an older copy: everything is read again, own records are written again")
}

// noteEra reports whether an era of the store is new. If it is, the entries of replicas have got their
// grace period by the time that it returns for any mirror: each applies its list after that.
func (e *Entry) noteEra(prefix string, era int64) bool {
	e.eraMu.Lock()
	defer e.eraMu.Unlock()
	if era <= e.storeEra {
		return false
	}
	e.storeEra = era
	e.replicas.storeRecovered(prefix, 0)
	return true
}
