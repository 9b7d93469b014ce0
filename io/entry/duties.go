package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/spread"
	"gentianwell/core/usage"
	dutyio "gentianwell/io/duty"
	"gentianwell/io/peerpb"
)

const (
	// kindDuty is the kind of the gossip item with which the holder of the duties announces itself.
	kindDuty spread.Kind = "duty"
	// dutyItemKey is the key of the only item of this kind.
	dutyItemKey = "holder"
	// usageTickInterval is how often it is checked whether counts or reports are due.
	usageTickInterval = 100 * time.Millisecond
	// correctionInterval is how often the correction of the clock is computed.
	correctionInterval = time.Second
)

// duties are the calls to the platform's API that one VM at a time makes. The fields reporter,
// counts and counter are nil if usage is not reported.
type duties struct {
	config CloudConfig
	items  *spread.Store
	push   func(now time.Time, items spread.Items)
	now    func() time.Time
	log    logrus.FieldLogger

	api      dutyio.API
	holder   *dutyio.Holder
	reporter *dutyio.Reporter
	counts   *dutyio.Counts
	counter  *usage.Counter
	// correction is added to the clock to get the time by which windows are counted.
	correction atomic.Int64
}

// newDuties returns nil if the configuration has no duties.
func (e *Entry) newDuties() (*duties, error) {
	c := e.options.Config.Cloud
	if !c.Active() {
		return nil, nil
	}
	d := &duties{
		config: c, items: e.items, now: e.options.Now, log: e.log, api: e.options.Cloud,
		push: func(now time.Time, items spread.Items) { e.gossip.Push(now, items) },
	}
	incarnation := uint64(e.random()*(1<<32))<<32 | uint64(e.random()*(1<<32))
	var nonces atomic.Int64
	var err error
	d.holder, err = dutyio.NewHolder(dutyio.HolderConfig{
		VM: e.options.Config.VM, Service: e.options.Source.Store, Now: e.options.Now, Lease: c.Lease, Slack: c.Slack, Era: e.options.StoreEra, Log: e.log,
		Nonce: func() string {
			return strconv.FormatUint(incarnation, 16) + "-" + strconv.FormatInt(nonces.Add(1), 10)
		},
		VMs: e.otherVMs, Announce: d.announce, DoneUntil: d.doneUntil, Observe: func(event dutyio.Event) { e.metrics.duty.WithLabelValues(string(event)).Inc() },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	if !c.Has(DutyUsage) {
		return d, nil
	}
	d.counter = usage.NewCounter()
	d.reporter, err = dutyio.NewReporter(dutyio.ReporterConfig{
		VM: e.options.Config.VM, Holder: d.holder, Service: e.options.Source.Store, Report: d.api.ReportUsage, Counter: d.counter, Incarnation: incarnation,
		VMs: e.otherVMs, Now: e.options.Now, TrueNow: d.trueNow, Window: c.Window, Late: c.Late, CallTime: c.callTime(), Era: e.options.StoreEra, Log: e.log,
		Observe: func(event dutyio.ReportEvent) { e.metrics.usageReports.WithLabelValues(string(event)).Inc() },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	d.counts = dutyio.NewCounts(dutyio.CountsConfig{
		VM: e.options.Config.VM, Holder: d.holder, Reporter: d.reporter, Counter: d.counter, Incarnation: incarnation, Peers: e.members.peers,
		Call: e.pool.Call, TrueNow: d.trueNow, Window: c.Window, Lease: c.Lease, Log: e.log,
	})
	return d, nil
}

// otherVMs returns the names of the other VMs that are known.
func (e *Entry) otherVMs() []call.VMID {
	peers := e.members.peers()
	out := make([]call.VMID, 0, len(peers))
	for _, p := range peers {
		out = append(out, p.ID)
	}
	return out
}

// receiveUsage serves the counts of another VM.
func (e *Entry) receiveUsage(ctx context.Context, req *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	if e.duties == nil || e.duties.counts == nil {
		return nil, errors.NotImplementedf("Usage without the duty %s", DutyUsage)
	}
	return e.duties.counts.Receive(ctx, req)
}

// startDuties starts the duties, if there are any.
func (e *Entry) startDuties(add func(string, func(context.Context) error)) {
	d := e.duties
	if d == nil {
		return
	}
	e.timers.Every("duty", dutyio.TickInterval, d.holder.Tick)
	add("duty", d.holder.Run)
	if d.reporter == nil {
		return
	}
	e.timers.Every("clockCorrection", correctionInterval, func(time.Time) { d.setCorrection(e.clocks.correction()) })
	e.timers.Every("usageReports", usageTickInterval, d.reporter.Tick)
	add("usageReports", d.reporter.Run)
	if e.options.Config.PeerAddress.IsValid() {
		e.timers.Every("usageCounts", usageTickInterval, d.counts.Tick)
	}
}

// standDown gives the lease back because a planned stop has begun.
func (d *duties) standDown() {
	if d != nil {
		d.holder.StandDown()
	}
}

// sendLast sends the last counts of a process that ends.
func (d *duties) sendLast(ctx context.Context) {
	if d != nil && d.counts != nil {
		d.counts.Send(ctx)
	}
}

// runStarted counts a request that a replica has begun to run.
func (d *duties) runStarted(team call.Team) {
	if team != "" {
		d.counter.Add(usage.WindowAt(d.trueNow(), d.config.Window), team)
	}
}

// trueNow returns the time of the clock, corrected.
func (d *duties) trueNow() time.Time { return d.now().Add(time.Duration(d.correction.Load())) }

func (d *duties) setCorrection(to time.Duration) {
	before := time.Duration(d.correction.Swap(int64(to)))
	if (to - before).Abs() > clockTolerance {
		d.log.WithFields(logrus.Fields{"event": "clockCorrection", "before": before.String(), "after": to.String()}).Info("windows of usage are counted by the median of the VMs' clocks")
	}
}

func (d *duties) doneUntil() int64 {
	if d.reporter == nil {
		return 0
	}
	return d.reporter.DoneUntil()
}

// announce puts the holder's announcement into the gossip store, and with urgent sends it to all
// VMs at once.
func (d *duties) announce(a duty.Announcement, ttl time.Duration, urgent bool) {
	value, err := json.Marshal(a)
	if err != nil {
		d.log.WithField("event", "dutyAnnounce").WithError(err).Error("encoding the announcement of the holder failed")
		return
	}
	now := d.now()
	item := spread.Item{ID: spread.ID{Kind: kindDuty, Key: dutyItemKey}, Version: a.Version(), Value: value, Expires: now.Add(ttl)}
	d.items.Put(now, item)
	if urgent {
		d.push(now, spread.Items{item})
	}
}

// apply applies an announcement of another VM.
func (d *duties) apply(now time.Time, item spread.Item) {
	if d == nil {
		return
	}
	var a duty.Announcement
	if err := json.Unmarshal(item.Value, &a); err != nil {
		d.log.WithField("event", "dutyAnnounce").WithError(err).Warn("announcement of the holder of the duties is not valid JSON, it is ignored")
		return
	}
	d.holder.Heard(a, item.Expires.Sub(now))
	if d.reporter != nil && a.DoneUntil > 0 {
		d.reporter.SetDone(a.DoneUntil)
	}
}
