package entry

import (
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
)

// hearingPath is a way on which a VM gets the configuration.
type hearingPath string

// The paths.
const (
	// pathWatch is an answer of its own watch.
	pathWatch hearingPath = "watch"
	// pathKeys is a reading of all keys, at the start, after the end of a watch and at intervals.
	pathKeys hearingPath = "keys"
	// pathProbe is a list that it read as the watch had missed a change.
	pathProbe hearingPath = "probe"
	// pathFetch is a bundle fetched from another VM.
	pathFetch hearingPath = "fetch"
)

func pathOf(source mirror.Source) hearingPath {
	switch source {
	case mirror.SourceWatch:
		return pathWatch
	case mirror.SourceAdopted:
		return pathProbe
	default:
		return pathKeys
	}
}

// toldOf says which VM told first of a version, by which message.
type toldOf struct {
	version int64
	vm      call.VMID
	message peer.MessageKind
	at      time.Time
}

// hearing records when each path last brought the configuration, changed or not, so that one VM's log
// tells how it heard of a version and what the other paths did meanwhile.
type hearing struct {
	now func() time.Time
	// age returns how long ago the copy of the configuration was last known to be complete; heard names the
	// last read of the store that was heard of, restarts is how often the watch was restarted.
	age      func() time.Duration
	heard    func(now time.Time) string
	restarts func() int64

	mu sync.Mutex
	// last is the path of the last answer, ageBefore how old the copy was before it. at holds the answers
	// before that one.
	last      hearingPath
	lastAt    time.Time
	ageBefore time.Duration
	at        map[hearingPath]time.Time
	newest    toldOf
}

// answered records that a path has brought the configuration.
func (h *hearing) answered(path hearingPath) {
	now, age := h.now(), h.age()
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.at == nil {
		h.at = map[hearingPath]time.Time{}
	}
	if h.last != "" {
		h.at[h.last] = h.lastAt
	}
	h.last, h.lastAt, h.ageBefore = path, now, age
}

// told records that another VM has told of a version that is newer than this VM's.
func (h *hearing) told(now time.Time, vm call.VMID, version int64, message peer.MessageKind) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if version > h.newest.version {
		h.newest = toldOf{version, vm, message, now}
	}
}

// fields returns the fields of the log line that says that a version is in force.
func (h *hearing) fields(version int64) logrus.Fields {
	now := h.now()
	fields := logrus.Fields{"read": h.heard(now), "watchRestarts": h.restarts()}
	h.mu.Lock()
	defer h.mu.Unlock()
	fields["path"], fields["age"] = h.last, h.ageBefore.Round(time.Millisecond).String()
	for path, name := range map[hearingPath]string{pathWatch: "watchAgo", pathKeys: "keysAgo", pathProbe: "probeAgo", pathFetch: "fetchAgo"} {
		if at := h.at[path]; !at.IsZero() {
			fields[name] = now.Sub(at).Round(time.Millisecond).String()
		}
	}
	if h.newest.version == version {
		fields["toldBy"], fields["toldIn"], fields["toldAgo"] = h.newest.vm, h.newest.message, now.Sub(h.newest.at).Round(time.Millisecond).String()
	}
	return fields
}
