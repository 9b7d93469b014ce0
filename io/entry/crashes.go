package entry

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/poison"
	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

// kindCrash and kindPartCrash are the kinds of the gossip items for records of crashes, by
// request and by part of a prompt.
const (
	kindCrash     spread.Kind = poison.Kind
	kindPartCrash spread.Kind = "suspectPart"
)

const (
	// suspectAfterCrashes is the number of crashes after which all VMs are told of a
	// request, refuseAfterCrashes the number of replicas that a request may crash.
	suspectAfterCrashes = 2
	refuseAfterCrashes  = 3
	// partBlameTime is how long after the first event of a run a crash of its replica may
	// still be due to a part of its prompt: such parts crash replicas that begin to answer.
	partBlameTime = time.Second
	// maxBlamedParts limits the parts of one prompt that get a record.
	maxBlamedParts = 128
	// crashWindow is shorter than the restart of a replica, which may keep its id, and
	// longer than the VMs need to notice one crash.
	crashWindow = 2 * time.Second
	// crashRetention is how long crashes count. It is also the longest lease of the
	// platform's store, so that no record has to be renewed or removed.
	crashRetention = 10 * time.Minute
	// lapsedPausePerVM is, times the number of VMs, the longest wait of a VM before it writes
	// records again that are gone from the store; finishPausePerVM is that before it writes
	// that a request or part has finished which other VMs suspect.
	lapsedPausePerVM = 100 * time.Millisecond
	finishPausePerVM = 10 * time.Millisecond
	// crashReadTimeout limits how long a VM that starts waits for the records in the store.
	crashReadTimeout = 2 * time.Second
	// maxCrashRecords and rememberedFinishes limit the memory for fingerprints.
	maxCrashRecords    = 4096
	rememberedFinishes = 4096
	// maxCrashItems limits the records of each kind among the gossip items, which share
	// their space with the changes of replicas. A crash leaves a record for each request that
	// was on the replica, and these must not keep out the few parts; nor must records of one
	// crash keep out those of suspects, for which maxSuspectItems is the limit.
	maxCrashItems   = 512
	maxSuspectItems = 2 * maxCrashItems
)

func crashConfig(vm call.VMID, ahead func(call.VMID) time.Duration) poison.Config {
	return poison.Config{
		Self: vm, SuspectAfter: suspectAfterCrashes, RefuseAfter: refuseAfterCrashes, RecentFinishes: rememberedFinishes, CrashWindow: crashWindow,
		Retention: crashRetention, MaxFingerprints: maxCrashRecords, Successive: true, AllUntilFinished: true, Ahead: ahead,
	}
}

// partCrashConfig is crashConfig for parts of prompts, whose crashes refused requests may
// explain.
func partCrashConfig(c Config, requests *poison.Registry, ahead func(call.VMID) time.Duration) poison.Config {
	p := crashConfig(c.VM, ahead)
	p.AllUntilFinished, p.TrialAfter, p.Requests = false, c.TrialAfter, requests.Suspects
	return p
}

// crashes knows which requests were running on replicas that crashed, by request and by part
// of their prompts, and shares that with the other VMs. The records are in the platform's store, so that they outlast the
// VMs and reach every VM that can read it; see crashWriter. Gossip carries those of
// suspect requests too, for VMs that cannot, and all while the store is down.
type crashes struct {
	registries crashRegistries
	writer     *crashWriter
	trials     *trials
	items      *spread.Store
	storeUp    func() bool
	dial       peer.DialFunc
	now        func() time.Time
	log        logrus.FieldLogger
	// observe is called with each lost run, and whether its replica had crashed.
	observe func(crashed bool)
	// observeCrash is called with the verdict on a request after each crash under it.
	observeCrash func(poison.Verdict)
	vms          func() int
	// random returns a random number in [0, 1).
	random func() float64

	// outage is true while writePending finds the store down. Only writePending uses it.
	outage bool

	// read is true once the records in the store have been read; readBy is until when the
	// VM waits for that before it is ready.
	read   atomic.Bool
	readBy time.Time

	mu sync.Mutex
	// checks are the checks in progress of whether a replica still accepts connections.
	checks map[call.ReplicaID]*crashCheck
	ends   replicaEnds

	// lapsed holds when records that are gone from the store are written again, finishes when
	// those are written that tell only of a finished run.
	lapsed, finishes map[crashID]time.Time

	// applied holds the values of the store's entries that were applied. Only
	// applySnapshot uses it.
	applied map[string]string
}

// forbids returns why a request must not be sent to a replica; empty if it may. If a trial
// of its refused parts is due, it also returns what claims it.
func (c *crashes) forbids(request poison.Fingerprint, parts []poison.Fingerprint) (proxy.Reason, func() bool) {
	now := c.now()
	if c.registries.requests.Judge(now, request).Action == poison.ActionRefuse {
		return proxy.ReasonCrashedReplicas, nil
	}
	refused := c.registries.parts.RefusedParts(now, parts)
	switch {
	case len(refused) == 0:
		return "", nil
	case c.trials.due(refused):
		return proxy.ReasonCrashingPart, func() bool { return c.trials.claim(refused) }
	}
	return proxy.ReasonCrashingPart, nil
}

// runLost handles a run whose connection was lost. It returns at once.
func (c *crashes) runLost(lost proxy.LostRun) { go c.recordLost(lost) }

// recordLost records a crash if the replica of a lost run refuses connections or has ended.
func (c *crashes) recordLost(lost proxy.LostRun) {
	crashed := lost.Crashed || c.hasCrashed(lost.Target)
	if crashed {
		c.tellEnd(lost.Target.ID)
	}
	crashed = crashed || c.ends.hasEnded(c.now(), lost)
	if lost.Silent && !crashed {
		// Slow replicas under overload leave many such runs: they are not logged.
		return
	}
	c.observe(crashed)
	if !crashed {
		c.lostRunLog(lost).WithFields(logrus.Fields{"event": "lostRun"}).Info("connection to a replica was lost, but the replica does not refuse connections")
		return
	}
	c.recordCrash(lost)
}

// replicaEnded records crashes for the runs that were lost shortly before their replica is
// known to have ended, or to have started again under its id. It returns at once.
func (c *crashes) replicaEnded(id call.ReplicaID, restarted bool) {
	runs, others := c.ends.replicaEnded(c.now(), id, restarted)
	if len(runs)+others > 0 {
		c.log.WithFields(logrus.Fields{
			"event": "replicaEnd", "replica": id, "restarted": restarted, "crashed": len(runs), "notCrashed": others,
		}).Info("replica has ended, runs that were lost or got no response there are judged")
	}
	for _, lost := range runs {
		if lost.Silent {
			c.observe(true)
		}
		go c.recordCrash(lost)
	}
}

func (c *crashes) lostRunLog(lost proxy.LostRun) logrus.FieldLogger {
	return c.log.WithFields(logrus.Fields{
		"request": lost.Request, "fingerprint": lost.Fingerprint.String(), "parts": fmt.Sprint(lost.Parts), "replica": lost.Target.ID,
		"status": lost.Status, "events": lost.Events, "silent": lost.Silent, "took": lost.At.Sub(lost.Sent).String(),
	})
}

// recordCrash records that a replica crashed while it ran a request. Several VMs may see the
// crash, one by its entry and thus later: the time of the crash is that of the loss.
func (c *crashes) recordCrash(lost proxy.LostRun) {
	now := c.now()
	crash := crashOf(lost)
	v := c.registries.requests.CrashedRun(now, lost.Fingerprint, crash)
	c.observeCrash(v)
	c.lostRunLog(lost).WithFields(logrus.Fields{
		"event": "crash", "next": v.Action, "reason": v.Reason, "crashes": v.Crashes, "sinceFinish": v.Successive,
	}).Warn("replica crashed while running a request")
	if v.Reason != poison.ReasonExonerated {
		c.registries.requests.Publish(now, lost.Fingerprint)
		c.gossip(now, crashID{crashRequest, lost.Fingerprint})
	}
	c.blameParts(now, lost, crash)
}

func crashOf(lost proxy.LostRun) poison.Crash {
	crash := poison.Crash{Replica: lost.Target.ID, At: lost.At, Began: lost.Sent}
	if !lost.Answered.IsZero() {
		crash.Began = lost.Answered
	}
	return crash
}

// blameParts records a crash for each part of the prompt of a lost run, unless the run had
// been answering for so long that none of them can be the cause.
func (c *crashes) blameParts(now time.Time, lost proxy.LostRun, crash poison.Crash) {
	answering := lost.At.Sub(lost.FirstEvent)
	if lost.Silent {
		// The replica has crashed long before the run was given up.
		answering = lost.LastEvent.Sub(lost.FirstEvent)
	}
	if !lost.FirstEvent.IsZero() && answering > partBlameTime {
		return
	}
	for _, part := range lost.Parts[:min(len(lost.Parts), maxBlamedParts)] {
		v := c.registries.parts.CrashedRun(now, part, crash)
		if v.Action == poison.ActionRefuse {
			explainedBy := ""
			if s, ok := c.registries.parts.Explanation(now, part, lost.Parts); ok {
				explainedBy = s.String()
			}
			c.log.WithFields(logrus.Fields{
				"event": "crashingPart", "part": part.String(), "request": lost.Request, "crashes": v.Crashes, "successive": v.Successive,
				"explainedBy": explainedBy,
			}).Warn("requests with a part of this prompt have crashed replicas, and are refused from now on")
		}
	}
}

// runCompleted records that a replica has completed a request.
func (c *crashes) runCompleted(request poison.Fingerprint, parts []poison.Fingerprint) {
	now := c.now()
	c.registries.requests.Finished(now, request)
	for _, part := range parts {
		c.registries.parts.Finished(now, part)
	}
}

// gossip puts the records of a request or part into the gossip store if it is suspect or
// the platform's store is down.
func (c *crashes) gossip(now time.Time, id crashID) {
	if c.storeUp() && c.registries.of(id.kind).Judge(now, id.fingerprint).Crashes < suspectAfterCrashes {
		return
	}
	c.tell(now, id)
}

// tell puts the records of a request or part into the gossip store, if there is room.
func (c *crashes) tell(now time.Time, id crashID) {
	registry := c.registries.of(id.kind)
	v := registry.Judge(now, id.fingerprint)
	item := spread.ID{Kind: id.kind.gossipKind(), Key: id.String()}
	most := maxCrashItems
	if v.Crashes >= suspectAfterCrashes {
		most = maxSuspectItems
	}
	if _, known := c.items.Get(now, item); !known && len(c.items.All(now, item.Kind)) >= most {
		return
	}
	s := registry.Snapshot(id.fingerprint)
	c.items.Put(now, spread.Item{ID: item, Version: s.Version, Value: s.Value, Expires: now.Add(crashRetention)})
}

// apply applies the records of a request or part from the store or another VM.
func (c *crashes) apply(now time.Time, key string, value []byte) {
	id, err := parseCrashID(key)
	if err == nil {
		err = c.registries.of(id.kind).MergeSnapshot(now, id.fingerprint, value)
	}
	if err != nil {
		c.log.WithFields(logrus.Fields{"event": "crashRecord", "key": key}).WithError(err).Warn("record of crashes is not valid, it is ignored")
		return
	}
	c.gossip(now, id)
}

// applySnapshot applies the records of suspect requests in the store. Removed ones stay
// known: entries go when their lease ends, and the registry has its own retention. Leases
// may end early while the store is down; such records are written again. This VM's crashes
// that are missing are added: they may be below crashPrefix, which other VMs do not watch.
func (c *crashes) applySnapshot(snap kvs.Snapshot) {
	now := c.now()
	applied := make(map[string]string, len(snap.Entries))
	for _, entry := range snap.Entries {
		applied[entry.Key] = string(entry.Value)
		if c.applied[entry.Key] != applied[entry.Key] {
			c.apply(now, strings.TrimPrefix(entry.Key, suspectPrefix), entry.Value)
			c.compareStored(now, entry)
		}
	}
	c.updateLapsed(now, applied)
	c.applied = applied
	c.read.Store(true)
}

// compareStored decides by an entry of the store, which has been applied, whether its records
// still have to be written: by this VM if the entry lacks crashes of it, and not any more if
// it lacks nothing that counts.
func (c *crashes) compareStored(now time.Time, entry kvs.Entry) {
	id, err := parseCrashID(strings.TrimPrefix(entry.Key, suspectPrefix))
	if err != nil {
		return
	}
	registry := c.registries.of(id.kind)
	c.writer.seen(entry)
	if !registry.Adds(now, id.fingerprint, entry.Value) {
		c.writer.drop(id)
		c.mu.Lock()
		delete(c.finishes, id)
		c.mu.Unlock()
	}
	if registry.LacksOwn(now, id.fingerprint, entry.Value) {
		c.writer.add([]crashID{id})
	}
}

// updateLapsed decides when to write again the records that are gone from the store though
// they count for longer than their lease could be too short. The VMs wait for different
// times, so that mostly one of them writes.
func (c *crashes) updateLapsed(now time.Time, applied map[string]string) {
	due := c.turn(now, lapsedPausePerVM)
	c.mu.Lock()
	defer c.mu.Unlock()
	for key := range applied {
		if id, err := parseCrashID(strings.TrimPrefix(key, suspectPrefix)); err == nil {
			delete(c.lapsed, id)
		}
	}
	for key := range c.applied {
		if _, stored := applied[key]; stored {
			continue
		}
		id, err := parseCrashID(strings.TrimPrefix(key, suspectPrefix))
		if err == nil && c.registries.of(id.kind).Judge(now.Add(crashLeaseUse), id.fingerprint).Crashes >= suspectAfterCrashes {
			c.lapsed[id] = due
		}
	}
}

// turn returns a random time within a pause for each VM.
func (c *crashes) turn(now time.Time, pausePerVM time.Duration) time.Time {
	return now.Add(time.Duration(c.random() * float64(c.vms()) * float64(pausePerVM)))
}

// delayFinishes takes out of the changed records those that only tell of a finished run, which
// mostly other VMs know of too, and lets the VMs wait for different times.
func (c *crashes) delayFinishes(now time.Time, changed []crashID) []crashID {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.DeleteFunc(changed, func(id crashID) bool {
		if c.registries.of(id.kind).Judge(now, id.fingerprint).Reason != poison.ReasonExonerated {
			return false
		}
		_, waits := c.finishes[id]
		if !waits && len(c.finishes) < maxCrashRecords {
			c.finishes[id] = c.turn(now, finishPausePerVM)
			waits = true
		}
		return waits
	})
}

// takeLapsed and takeFinishes return the ids of the records that have to be written now.
func (c *crashes) takeLapsed(now time.Time) []crashID   { return c.takeDue(now, c.lapsed) }
func (c *crashes) takeFinishes(now time.Time) []crashID { return c.takeDue(now, c.finishes) }

func (c *crashes) takeDue(now time.Time, waiting map[crashID]time.Time) []crashID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var out []crashID
	for id, due := range waiting {
		if !now.Before(due) {
			out = append(out, id)
			delete(waiting, id)
		}
	}
	return out
}

// writeAgain makes all records of this VM be written again, after the store has lost some.
// It returns their number.
func (c *crashes) writeAgain() int {
	own := c.ids(func(r *poison.Registry) []poison.Fingerprint { return r.Published(c.now()) })
	c.writer.reset()
	c.writer.add(own)
	return len(own)
}

// writePending begins to write this VM's changed records, unless the store is down.
func (c *crashes) writePending(now time.Time) {
	changed := c.ids(func(r *poison.Registry) []poison.Fingerprint { return r.TakeChanged(now) })
	for _, id := range changed {
		c.gossip(now, id)
	}
	c.writer.add(c.delayFinishes(now, changed))
	if !c.storeUp() {
		if !c.outage {
			c.outage = true
			c.tellUnwritten(c.writer.waiting())
		}
		return
	}
	c.outage = false
	c.writer.add(c.takeFinishes(now))
	if lapsed := c.takeLapsed(now); len(lapsed) > 0 {
		c.writer.reset()
		c.writer.add(lapsed)
	}
	c.writer.start(now, c.vms())
}

// tellUnwritten gossips records that cannot be written to the store now: until then, no
// other VM knows of them.
func (c *crashes) tellUnwritten(ids []crashID) {
	now := c.now()
	for _, id := range ids {
		c.tell(now, id)
	}
}

// ids returns the ids of the fingerprints that a function returns for each registry.
func (c *crashes) ids(of func(*poison.Registry) []poison.Fingerprint) []crashID {
	var out []crashID
	for _, kind := range []crashKind{crashRequest, crashPart} {
		for _, fp := range of(c.registries.of(kind)) {
			out = append(out, crashID{kind, fp})
		}
	}
	return out
}
