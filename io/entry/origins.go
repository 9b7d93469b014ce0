package entry

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/origin"
	"gentianwell/core/outbox"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

// kindStream is the kind of the gossip items for streams whose record is not in the store.
const kindStream spread.Kind = "stream"

const (
	// streamPrefix and basePrefix are the prefixes of the keys of records of streams, and of the
	// base versions of services.
	streamPrefix = "gentianwell/streams/"
	basePrefix   = "gentianwell/versions/"
	// originReadTimeout limits a read of the store for a caller that takes a stream up.
	originReadTimeout = 500 * time.Millisecond
	// basePause is the least time between two reads or writes of the base of a service by this
	// VM, basePausePerVM is, times the number of VMs, the longest wait before the base is
	// replaced, so that mostly one VM does.
	basePause      = 300 * time.Millisecond
	basePausePerVM = 20 * time.Millisecond
	// pushPausePerVM is, times the number of VMs, the pause between two pushes of records.
	pushPausePerVM = 10 * time.Millisecond
	// maxTickPause is the longest pause between two ticks of a VM that has not stood still.
	maxTickPause = 2 * time.Second
	// maxStreamItems limits the gossip items for streams.
	maxStreamItems = 512
)

// errOriginUnknown means that it cannot be told now at which version a stream began.
const errOriginUnknown = errors.ConstError("the version at which the stream began is not known")

// origins tells at which version streams began, for callers that take them up at any VM. The
// records are in the platform's store; see core/origin for which streams have one.
type origins struct {
	registry *origin.Registry
	writer   *originWriter
	store    kvs.Service
	storeUp  func() bool
	items    *spread.Store
	// push sends items to all known VMs; see peer.Gossip.Push.
	push func(time.Time, spread.Items) <-chan peer.PushResult
	// outage reports whether the store is down for all VMs, as far as they say.
	outage func(time.Time) bool
	// services returns the services of routes whose streams callers may take up.
	services func() map[call.Model]bool
	vms      func() int
	// fleet returns the number of VMs that there may be, those out of touch included.
	fleet func() int
	// random returns a random number in [0, 1).
	random func() float64
	now    func() time.Time
	log    logrus.FieldLogger

	// recording is held while a record is chosen and put, so that the queue holds the record that
	// the registry has.
	recording sync.Mutex

	mu sync.Mutex
	// bases holds when the base of a service may be read or written next.
	bases map[call.Model]time.Time
	// untold holds the records to push, by stream; the next push may begin at pushAt.
	untold map[string]streamRecord
	pushAt time.Time
	// alone is until when records are taken not to reach all VMs, after a push that did not.
	alone time.Time
	// listed holds the versions as last set.
	listed map[call.Model]map[call.Version]int
	// storeLost is true while the store is down, tickedAt is when tick was last called; only
	// tick uses them.
	storeLost bool
	tickedAt  time.Time
}

// streamID returns the key of a stream, which began with a request of a team: what callers choose
// may be long, and a team must not take up another one's streams.
func streamID(team call.Team, request string) string {
	sum := sha256.Sum256([]byte(string(team) + "\x00" + request))
	return hex.EncodeToString(sum[:16])
}

// begins records at which version a stream is about to begin. The result tells when every VM can
// find the record, in the store or by gossip, or that none ever will by it; it is nil if there is
// nothing to wait for.
func (o *origins) begins(s proxy.StreamStart) *outbox.Wait {
	if s.Version == "" {
		return nil
	}
	o.recording.Lock()
	defer o.recording.Unlock()
	now, id := o.now(), streamID(s.Team, s.Request)
	stream := origin.Stream{Service: s.Service, Version: s.Version}
	before, known := o.registry.Lookup(now, id)
	if known && before == stream && !o.registry.IsUnrecorded(id) {
		return o.writer.queue.Pending(id)
	}
	o.registry.Began(now, id, stream, s.Timeout)
	// An attempt at another version may have left a record.
	if !known && !o.registry.NeedsRecord(s.Service, s.Version) {
		return nil
	}
	wait := o.writer.add(id, stream)
	if wait.Outcome() == outbox.OutcomeFull {
		o.registry.Unrecorded(id)
	}
	return wait
}

// mayBegin reports whether a stream may begin although its record has not become known in time.
func (o *origins) mayBegin(service call.Model, version call.Version) bool {
	return o.registry.BeginsUnrecorded(o.now(), service, version)
}

// prefers returns the version at which streams of a service should begin while this VM cannot
// record another one at once; empty if any may be chosen. With only, they must not begin at another
// one, because neither the store nor all other VMs have heard of the latest records.
func (o *origins) prefers(service call.Model) (preferred call.Version, only bool) {
	if o.storeUp() && !o.writer.isLate() {
		return "", false
	}
	now := o.now()
	base, known, inForce := o.registry.Base(service)
	only = o.isAlone(now)
	if !inForce && (!known || !only || o.beginsAtSole(now, service)) {
		return "", false
	}
	return base, only
}

// isAlone reports whether the last records have not reached all VMs.
func (o *origins) isAlone(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.alone)
}

// beginsAtSole reports whether streams may begin unrecorded at the only version listed.
func (o *origins) beginsAtSole(now time.Time, service call.Model) bool {
	sole, known := o.registry.Sole(now, service)
	return known && o.registry.BeginsUnrecorded(now, service, sole)
}

// tell gossips a record that the store has not taken, if there is room.
func (o *origins) tell(now time.Time, record streamRecord) {
	if len(o.items.All(now, kindStream)) >= maxStreamItems {
		return
	}
	value, err := json.Marshal(record.Value)
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "streamRecord", "stream": record.ID}).WithError(err).Warn("record of a stream cannot be encoded")
		return
	}
	o.items.Put(now, spread.Item{ID: spread.ID{Kind: kindStream, Key: record.ID}, Version: uint64(now.UnixNano()), Value: value, Expires: now.Add(streamLease)})
	o.mu.Lock()
	defer o.mu.Unlock()
	o.untold[record.ID] = record
}

// pushUntold sends records that are not in the store to all VMs, which may be asked for them at
// once. The pause between two pushes grows with the number of VMs.
func (o *origins) pushUntold(now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.untold) == 0 || now.Before(o.pushAt) {
		return
	}
	records := o.untold
	var items spread.Items
	for id := range records {
		if item, ok := o.items.Get(now, spread.ID{Kind: kindStream, Key: id}); ok {
			items = append(items, item)
		}
	}
	pushed := o.push(now, items)
	go func() { o.afterPush(<-pushed, records) }()
	o.untold, o.pushAt = map[string]streamRecord{}, now.Add(time.Duration(o.vms())*pushPausePerVM)
}

// afterPush notes which records all VMs have now.
func (o *origins) afterPush(r peer.PushResult, records map[string]streamRecord) {
	reached := o.reachesAll(r)
	o.mu.Lock()
	o.alone = time.Time{}
	if !reached {
		o.alone = o.now().Add(2 * originTellInterval)
	}
	o.mu.Unlock()
	if !reached {
		return
	}
	for _, record := range records {
		o.writer.queue.Known(record)
	}
}

// reachesAll reports whether a push has reached all VMs that may be asked for a stream. The list
// of VMs shrinks while this one is cut off, so it has to hold most of those that there may be.
func (o *origins) reachesAll(r peer.PushResult) bool {
	return r.Answered == r.Sent && 2*(r.Answered+1) > o.fleet()
}

// find returns where a stream began that a caller takes up. What this VM knows of the versions may
// be old, so that a stream without a record is judged by the store's answer of this moment.
//
// Errors: errOriginUnknown.
func (o *origins) find(ctx context.Context, team call.Team, service call.Model, request string) (origin.Stream, error) {
	now, id := o.now(), streamID(team, request)
	if s, ok := o.registry.Lookup(now, id); ok {
		return s, nil
	}
	item, told := o.items.Get(now, spread.ID{Kind: kindStream, Key: id})
	switch {
	case told && !o.storeUp():
		return parseStream(item.Value)
	case !o.storeUp():
		return o.findInOutage(now, service)
	}
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	if request == "" {
		return o.findUnnamed(ctx, service)
	}
	// What the store says wins over what a VM has told: an attempt at one version may have been
	// followed by one at another.
	found, err := o.store.Get(ctx, streamPrefix+id)
	switch {
	case told && (err != nil || !found.Found):
		return parseStream(item.Value)
	case err != nil:
		return origin.Stream{}, errors.Wrap(err, errors.Annotate(errOriginUnknown, "origins.find"))
	}
	if found.Found {
		s, err := parseStream(found.Entry.Value)
		if err == nil {
			o.registry.Began(now, id, s, 0)
		}
		return s, err
	}
	if _, known, inForce := o.registry.Base(service); !known || !inForce {
		o.readBase(ctx, service)
	}
	version, known := o.registry.WithoutRecord(now, service, origin.EvidenceStore)
	if !known {
		return origin.Stream{}, errors.Annotate(errOriginUnknown, "origins.find: the service has no base version yet")
	}
	return origin.Stream{Service: service, Version: version}, nil
}

// findInOutage returns where a stream began of which this VM knows no record, while it cannot read
// the store.
func (o *origins) findInOutage(now time.Time, service call.Model) (origin.Stream, error) {
	evidence := origin.EvidenceNone
	if o.outage(now) {
		evidence = origin.EvidenceOutage
	}
	version, known := o.registry.WithoutRecord(now, service, evidence)
	if !known {
		return origin.Stream{}, errors.Annotate(errOriginUnknown, "origins.find: the store cannot be read")
	}
	return origin.Stream{Service: service, Version: version}, nil
}

// findUnnamed returns where a stream began whose caller does not say which request began it: that
// is known where one version serves, if the store's answer shows that this VM is in touch.
func (o *origins) findUnnamed(ctx context.Context, service call.Model) (origin.Stream, error) {
	found, err := o.store.Get(ctx, basePrefix+string(service))
	if err != nil {
		return origin.Stream{}, errors.Wrap(err, errors.Annotate(errOriginUnknown, "origins.find"))
	}
	o.setBase(service, found)
	version, known := o.registry.Sole(o.now(), service)
	if !known {
		return origin.Stream{}, errors.Annotate(errOriginUnknown, "origins.find: the caller does not say which request began the stream")
	}
	return origin.Stream{Service: service, Version: version}, nil
}

func parseStream(value []byte) (origin.Stream, error) {
	var s origin.Stream
	if err := json.Unmarshal(value, &s); err != nil {
		return s, errors.Wrap(err, errors.Annotate(errOriginUnknown, "parseStream"))
	}
	if s.Service == "" || s.Version == "" {
		return s, errors.Annotatef(errOriginUnknown, "parseStream: service %q, version %q (both must be set)", s.Service, s.Version)
	}
	return s, nil
}

// tick writes records and does what has to be done with the bases.
func (o *origins) tick(now time.Time) {
	o.rereadAfterPause(now)
	for _, record := range o.writer.takeLate(now, !o.storeUp()) {
		o.tell(now, record)
	}
	o.pushUntold(now)
	if !o.storeUp() {
		o.storeLost = true
		return
	}
	if o.storeLost {
		o.storeLost = false
		o.writeAgain()
	}
	o.writer.start()
	for service := range o.services() {
		switch task := o.registry.Task(now, service); task.Kind {
		case origin.TaskRead:
			if o.takeTurn(now, service, 0) {
				go o.readBase(context.Background(), service)
			}
		case origin.TaskWrite:
			wait := time.Duration(0)
			if task.Revision != 0 {
				wait = time.Duration(o.random() * float64(o.vms()) * float64(basePausePerVM))
			}
			if o.takeTurn(now, service, wait) {
				time.AfterFunc(wait, func() { o.replaceBase(service) })
			}
		case origin.TaskNone:
		}
	}
}

// rereadAfterPause makes the bases be read again if this VM has stood still for a time in which
// they may have been replaced.
func (o *origins) rereadAfterPause(now time.Time) {
	if !o.tickedAt.IsZero() && now.Sub(o.tickedAt) > maxTickPause {
		o.log.WithFields(logrus.Fields{"event": "baseVersion", "pause": now.Sub(o.tickedAt).String()}).Warn("this VM has stood still, the base versions are read again")
		o.registry.Reread(now)
	}
	o.tickedAt = now
}

// takeTurn reports whether the base of a service may be read or written now, and takes the turn.
func (o *origins) takeTurn(now time.Time, service call.Model, wait time.Duration) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if now.Before(o.bases[service]) {
		return false
	}
	o.bases[service] = now.Add(wait + basePause)
	return true
}

// readBase reads the base of a service from the store.
func (o *origins) readBase(ctx context.Context, service call.Model) {
	ctx, cancel := context.WithTimeout(ctx, originReadTimeout)
	defer cancel()
	found, err := o.store.Get(ctx, basePrefix+string(service))
	if err != nil {
		o.log.WithFields(logrus.Fields{"event": "baseVersion", "service": service}).WithError(err).Info("the base version of a service was not read, trying again")
		return
	}
	o.setBase(service, found)
}

func (o *origins) setBase(service call.Model, found kvs.Lookup) {
	base, revision := call.Version(""), int64(0)
	if found.Found {
		base, revision = call.Version(found.Entry.Value), int64(found.Entry.ModRevision)
	}
	o.registry.SetBase(service, base, revision)
	o.log.WithFields(logrus.Fields{"event": "baseVersion", "service": service, "base": base, "revision": revision}).Info("streams without a record began at the base version")
}

// replaceBase replaces the base of a service if no other VM has done so.
func (o *origins) replaceBase(service call.Model) {
	o.readBase(context.Background(), service)
	task := o.registry.Task(o.now(), service)
	if task.Kind != origin.TaskWrite {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), originReadTimeout)
	defer cancel()
	key := basePrefix + string(service)
	condition := kvs.Absent(key)
	if task.Revision != 0 {
		condition = kvs.Unchanged(key, kvs.Revision(task.Revision))
	}
	result, err := o.store.Transact(ctx, kvs.Txn{Compares: []kvs.Compare{condition}, Then: []kvs.Op{kvs.Put(key, []byte(task.Version), 0)}})
	switch {
	case err != nil:
		o.log.WithFields(logrus.Fields{"event": "baseVersion", "service": service}).WithError(err).Info("the base version of a service was not written, trying again")
	case result.Succeeded:
		o.registry.SetBase(service, task.Version, int64(result.Revision))
		o.log.WithFields(logrus.Fields{"event": "baseVersion", "service": service, "base": task.Version, "revision": int64(result.Revision)}).Info("base version of a service was written")
	default:
		o.readBase(context.Background(), service)
	}
}

// writeAgain makes the records of this VM be written again, after the store has lost some, and the
// bases be read again. It returns the number of records.
func (o *origins) writeAgain() int {
	// A stream that begins meanwhile may replace a record that is put again here.
	o.recording.Lock()
	defer o.recording.Unlock()
	o.registry.Reread(o.now())
	o.writer.storeLost()
	recorded, dropped := o.registry.Recorded(o.now()), 0
	for id, s := range recorded {
		if !o.writer.put(id, s) {
			o.registry.Unrecorded(id)
			dropped++
		}
	}
	if dropped > 0 {
		o.log.WithFields(logrus.Fields{"event": "streamWrite", "dropped": dropped, "limit": maxUnwritten}).Warn("records of streams are not written again, as too many wait for the store")
	}
	return len(recorded) - dropped
}

// setVersions sets the number of replicas of each version of all services.
func (o *origins) setVersions(now time.Time, versions map[call.Model]map[call.Version]int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	for service := range o.listed {
		if versions[service] == nil {
			o.registry.SetVersions(now, service, nil)
		}
	}
	for service, listed := range versions {
		o.registry.SetVersions(now, service, listed)
	}
	o.listed = versions
}
