package reader

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// Reason is why a VM watches by itself, or does not.
type Reason string

// The reasons.
const (
	ReasonFewVMs    Reason = "fewVMs"
	ReasonIsReader  Reason = "isReader"
	ReasonNoList    Reason = "noList"
	ReasonStoreDown Reason = "storeDown"
	// ReasonReaderLost is that the readers heard of have said that they cannot read the store.
	ReasonReaderLost Reason = "readerLost"
	ReasonTooOld     Reason = "tooOld"
	// ReasonNotStable is that readers have not been heard for long enough again.
	ReasonNotStable Reason = "notStable"
	ReasonHeard     Reason = "readersHeard"
)

// Claim is what a reader says of its list.
type Claim struct {
	Reader call.VMID
	// CompleteAt is the time up to which the reader's list was complete.
	CompleteAt time.Time
	// Matches is true if the list of this VM has the digest that the reader's has.
	Matches bool
	// Lost is true if the reader cannot read the store any more.
	Lost bool
}

// State is what a VM knows of itself.
type State struct {
	// VMs is the number of VMs that it knows, itself included.
	VMs      int
	IsReader bool
	// HasList is true once this VM has read the whole list by itself.
	HasList bool
	// StoreUp is true if its last reads of the store succeeded.
	StoreUp bool
}

// Decision says whether a VM watches by itself.
type Decision struct {
	Watch  bool
	Reason Reason
	// Age is how long ago the list was complete by what readers have said; zero if none has.
	Age time.Duration
}

// Watch decides for one VM. It is not safe for concurrent use.
type Watch struct {
	config Config
	// completeAt holds the time up to which this VM's list was complete, by the reader that said so.
	completeAt map[call.VMID]time.Time
	// latest is the latest time up to which this VM's list is known to have been complete.
	latest time.Time
	// lost is true if a reader has said that it cannot read the store, and none has confirmed
	// the list since.
	lost bool
	// stableFrom is since when readers have been heard without a break; zero if they are not.
	stableFrom time.Time
	// watching is the last decision.
	watching bool
}

// NewWatch returns a Watch of a VM that watches by itself.
//
// Errors: NotValid.
func NewWatch(c Config) (*Watch, error) {
	c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "reader.NewWatch")
	}
	return &Watch{config: c, completeAt: map[call.VMID]time.Time{}, watching: true}, nil
}

// Heard takes what a reader says. A claim from the future counts as one of now.
func (w *Watch) Heard(now time.Time, c Claim) {
	if c.CompleteAt.After(now) {
		c.CompleteAt = now
	}
	switch {
	case c.Lost:
		delete(w.completeAt, c.Reader)
		w.lost = true
	case c.Matches && c.CompleteAt.After(w.completeAt[c.Reader]):
		w.completeAt[c.Reader] = c.CompleteAt
		w.lost = false
	}
	if c.Matches && c.CompleteAt.After(w.latest) {
		w.latest = c.CompleteAt
	}
}

// Forget drops all claims: this VM watches by itself until readers have been heard for long enough
// again.
func (w *Watch) Forget() {
	clear(w.completeAt)
	w.stableFrom = time.Time{}
}

// CompleteAt returns the latest time up to which this VM's list was complete, by what readers have
// said; zero if none has.
func (w *Watch) CompleteAt() time.Time { return w.latest }

// Decide decides whether this VM watches by itself. It is called often: a VM that has stood still
// watches again with the first call after that.
func (w *Watch) Decide(now time.Time, s State) Decision {
	d := w.decide(now, s)
	w.watching = d.Watch
	if !w.latest.IsZero() {
		d.Age = now.Sub(w.latest)
	}
	return d
}

func (w *Watch) decide(now time.Time, s State) Decision {
	fresh := w.isFresh(now)
	switch {
	case !fresh:
		w.stableFrom = time.Time{}
	case w.stableFrom.IsZero():
		w.stableFrom = now
	}
	switch {
	case s.VMs < w.config.MinVMs:
		return Decision{Watch: true, Reason: ReasonFewVMs}
	case s.IsReader:
		return Decision{Watch: true, Reason: ReasonIsReader}
	case !s.HasList:
		return Decision{Watch: true, Reason: ReasonNoList}
	case !s.StoreUp:
		return Decision{Watch: true, Reason: ReasonStoreDown}
	case !fresh && w.lost:
		return Decision{Watch: true, Reason: ReasonReaderLost}
	case !fresh:
		return Decision{Watch: true, Reason: ReasonTooOld}
	case w.watching && now.Sub(w.stableFrom) < w.config.StableFor:
		return Decision{Watch: true, Reason: ReasonNotStable}
	}
	return Decision{Reason: ReasonHeard}
}

// isFresh reports whether a reader that can read the store has confirmed the list within MaxAge,
// and removes the claims that are older.
func (w *Watch) isFresh(now time.Time) bool {
	for id, at := range w.completeAt {
		if now.Sub(at) > w.config.MaxAge {
			delete(w.completeAt, id)
		}
	}
	return len(w.completeAt) > 0
}
