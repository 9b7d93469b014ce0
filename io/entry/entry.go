// Package entry implements the process of one entry VM, for a platform that provides
// the configuration and the list of replicas through its key-value store.
//
// The process writes nothing to disk and does not access the store to serve a request.
// It watches the configuration and the replicas' entries, and forwards changes to the
// other VMs, so that a VM that the store refuses gets them too.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Config: config, Source: source, Headers: headers, Log: log, Now: time.Now, Seed: seed})
//	err = e.Run(ctx) // ctx ends with the signal to stop
package entry

import (
	"context"
	"math/rand/v2"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/drain"
	"gentianwell/core/fair"
	"gentianwell/core/fleet"
	"gentianwell/core/origin"
	"gentianwell/core/poison"
	"gentianwell/core/prober"
	"gentianwell/core/quota"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/spread"
	"gentianwell/core/table"
	"gentianwell/core/timer"
	"gentianwell/io/back"
	"gentianwell/io/dial"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

const (
	// stopMargin is the time left between the end of a stop and the kill.
	stopMargin = 500 * time.Millisecond
	// gossipInterval is the time between gossip rounds.
	gossipInterval = 400 * time.Millisecond
	// currentFor is how long after the last response of a peer the routing table counts
	// as current while the store cannot be read.
	currentFor = 2 * time.Second
	// idleTimeout closes idle connections to backend servers well before the servers
	// close them: of a request sent while the server closes the connection, it is not
	// known whether it has run.
	idleTimeout = 2 * time.Second
	// bodyMemoryFraction is the part of the process's memory for the bodies of requests.
	// Garbage of the same size may be left of finished ones, and the kernel holds what has
	// not been read yet.
	bodyMemoryFraction = 0.25
	// maxIdleConns limits the idle connections to one backend server.
	maxIdleConns = 8
)

// The random number streams derived from Options.Seed.
const (
	randRouter = iota + 1
	randRetry
	randGossip
	randConfigMirror
	randReplicaMirror
	randProxy
	randCrashMirror
	randLimits
)

// Entry is the process of one entry VM.
type Entry struct {
	options Options
	config  atomic.Pointer[Config]
	log     logrus.FieldLogger
	timers  *timer.Service
	drain   *drain.Machine
	router  *route.Router
	// fair is nil if capacity is not divided between teams.
	fair   *fair.Fair
	retry  *retry.Policy
	client *back.Client
	pool   *peer.Pool
	gossip *peer.Gossip
	// gossipRound begins a round of gossip.
	gossipRound func(now time.Time)
	items       *spread.Store

	tables      *tables
	replicas    *replicas
	loads       *loads
	clocks      clocks
	limits      *limits
	notices     *notices
	members     *members
	storeStatus *storeStatus
	crashes     *crashes
	origins     *origins
	probe       *probe
	reads       *reads
	holds       *holds
	hearing     *hearing
	watchChecks *watchChecks
	readers     *readers
	// duties is nil if there are none, autoscaler if this VM orders no replicas.
	duties     *duties
	autoscaler *autoscaler
	proxy      *proxy.Server
	metrics    *metrics

	rngMu     sync.Mutex
	rng       *rand.Rand
	fleetSize fleetSize
	// eraMu guards storeEra, the greatest era of the store for which storeRestored was called.
	eraMu    sync.Mutex
	storeEra int64
	// budgetVMs is the number of VMs that the retry budget is divided by; zero while it is
	// not known.
	budgetVMs atomic.Int64
	// configRestarts counts the restarts of the watch of the configuration.
	configRestarts atomic.Int64
	// stopped is closed at the end of a planned stop.
	stopped chan struct{}
	// requests is the context whose end ends the requests in progress.
	requests       context.Context
	cancelRequests context.CancelFunc
	bundles        *bundleFetcher
}

// New returns a process that is not running yet; Run runs it.
//
// Errors: NotValid.
func New(o Options) (*Entry, error) {
	o.Config.Defaults()
	if err := o.Config.Validate(); err != nil {
		return nil, errors.Annotate(err, "entry.New")
	}
	if o.Dial == nil {
		o.Dial = dial.TCP(dial.Config{UserTimeout: pauseTimeout})
	}
	e := &Entry{options: o, log: o.Log, timers: timer.New(timer.Config{Now: o.Now}), rng: o.rand(randProxy), stopped: make(chan struct{})}
	e.config.Store(&o.Config)
	e.requests, e.cancelRequests = context.WithCancel(context.Background())
	e.drain = drain.New(drain.Config{Notice: o.Config.Notice, Limit: o.Config.StopLimit - stopMargin})
	if err := e.makeComponents(); err != nil {
		return nil, errors.Annotate(err, "entry.New")
	}
	return e, nil
}

func (o *Options) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }

// makeComponents creates the components and connects them.
func (e *Entry) makeComponents() error {
	c := e.options.Config
	var err error
	e.limits = &limits{self: quota.VM{ID: c.VM, Zone: c.Zone}, log: e.log}
	if e.limits.quota, err = quota.New(quota.Config{Self: c.VM, Rand: e.options.rand(randLimits)}); err != nil {
		return errors.Trace(err)
	}
	if e.router, err = route.New(routerConfig(c, e.options.rand(randRouter), e.limits.quota)); err != nil {
		return errors.Trace(err)
	}
	if c.TeamShares {
		if e.fair, err = fair.New(fair.Config{}); err != nil {
			return errors.Trace(err)
		}
	}
	if e.retry, err = retry.New(retry.Config{Rand: e.options.rand(randRetry), MinPerSecond: initialRetryRate, Burst: 1}); err != nil {
		return errors.Trace(err)
	}
	e.client, err = back.New(back.Config{Dial: e.options.Dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdleConns: maxIdleConns, Log: e.log, ResponseBroken: func(reason string) { e.metrics.observeBroken(reason) }})
	if err != nil {
		return errors.Trace(err)
	}
	e.items = spread.New(spread.Config{Self: c.VM, Rand: e.options.rand(randGossip)})
	e.hearing = &hearing{
		now: e.options.Now, age: func() time.Duration { return e.probe.age(e.options.Source.ConfigKey) },
		heard: func(now time.Time) string { return e.reads.lastHeard(now) }, restarts: e.configRestarts.Load,
	}
	e.tables = &tables{parse: e.options.Source.ParseConfig, hearing: e.hearing.fields, log: e.log}
	e.loads, e.notices = &loads{router: e.router}, &notices{router: e.router, log: e.log}
	e.limits.items, e.limits.changed = e.items, e.router.LimitsChanged
	e.replicas = &replicas{
		onList: e.loads.setReplicas, onVersions: func(now time.Time, v map[call.Model]map[call.Version]int) { e.origins.setVersions(now, v) },
		onOutage: func(prefix string) { e.metrics.storeOutages.WithLabelValues(prefix).Inc() },
		onEnded:  func(id call.ReplicaID, restarted bool) { e.crashes.replicaEnded(id, restarted) }, latest: map[call.ReplicaID]fleet.Entry{},
		prefix: e.options.Source.ReplicaPrefix, parse: e.options.Source.ParseReplica, router: e.router, items: e.items, now: e.options.Now, log: e.log,
		registry: fleet.New(c.fleetConfig()), values: map[call.ReplicaID][]byte{}, onItem: func(item spread.Item) { e.readers.replicaChanged(item) },
	}
	e.members = &members{self: c.VM, zone: c.Zone, address: c.PeerAddress, items: e.items, now: e.options.Now, log: e.log, unreachable: map[call.VMID]bool{}}
	e.storeStatus = &storeStatus{now: e.options.Now, log: e.log, onChange: func() {
		e.members.announce(e.options.Now())
		e.readers.storeChanged(e.options.Now())
	}}
	e.members.storeUp = e.storeStatus.up
	var suspects crashRegistries
	if suspects.requests, err = poison.New(crashConfig(c.VM, e.clocks.ahead)); err != nil {
		return errors.Trace(err)
	}
	if suspects.parts, err = poison.New(partCrashConfig(c, suspects.requests, e.clocks.ahead)); err != nil {
		return errors.Trace(err)
	}
	crashWriter, err := newCrashWriter(crashWriterConfig{
		registries: suspects, store: e.options.Source.Store, now: e.options.Now, log: e.log,
		failed: func(ids []crashID) { e.crashes.tellUnwritten(ids) },
	})
	if err != nil {
		return errors.Trace(err)
	}
	e.crashes = &crashes{
		registries: suspects, items: e.items, storeUp: e.storeStatus.up,
		writer: crashWriter,
		dial:   e.options.Dial, now: e.options.Now, log: e.log, observe: func(crashed bool) { e.metrics.observeLostRun(crashed) },
		observeCrash: func(v poison.Verdict) { e.metrics.observeCrash(v) },
		checks:       map[call.ReplicaID]*crashCheck{}, applied: map[string]string{}, lapsed: map[crashID]time.Time{}, finishes: map[crashID]time.Time{},
		vms: e.members.count, random: e.random, readBy: e.options.Now().Add(crashReadTimeout),
	}
	e.crashes.trials = &trials{
		registry: suspects.parts, write: e.crashes.writer.writeTrials, storeUp: e.storeStatus.up, vms: e.members.count, now: e.options.Now, log: e.log,
	}
	if e.origins, err = e.newOrigins(); err != nil {
		return errors.Trace(err)
	}
	e.pool = peer.NewPool(peer.PoolConfig{Dial: e.options.Dial})
	e.gossip = peer.NewGossip(peer.GossipConfig{
		Self: c.VM, Zone: c.Zone, Pool: e.pool, Store: e.items, Peers: e.members.peers, Now: e.options.Now,
		SettingsVersion: e.tables.version,
		ItemsChanged:    e.applyItems, ExchangeDone: e.members.exchangeDone, NewerSettings: e.fetchNewer, Settings: e.serveBundle,
		Loads: e.loads.message, ReceiveLoads: e.loads.receive,
		Demands: demands{e.router}.message, ReceiveDemands: demands{e.router}.receive,
		Teams: teamDemands{e.fair}.message, ReceiveTeams: teamDemands{e.fair}.receive,
		ReceiveClock: e.clocks.heard, Usage: e.receiveUsage,
		Notices: map[spread.Kind]func(time.Time, spread.Item){
			kindReader: func(now time.Time, item spread.Item) { e.readers.receive(now, item) },
			kindProbe:  func(now time.Time, item spread.Item) { e.reads.receiveProbe(now, item) },
		},
		Received: func(now time.Time, from call.VMID, sent time.Time, items spread.Items) spread.Items {
			return e.reads.received(now, from, sent, items)
		},
	})
	e.gossipRound = e.gossip.Round
	e.reads = newReads(readsConfig{
		self: c.VM, peers: e.members.peers, items: e.items, notify: e.gossip.Notify, ahead: e.clocks.ahead,
		version: e.tables.version, configPrefix: e.options.Source.ConfigKey, mirror: func(prefix string) *mirror.Mirror { return e.probe.mirror(prefix) },
		heard: func(at time.Time) { e.probe.heardRead(at) },
		missing: func(m *mirror.Mirror, changed kvs.Revision) {
			e.watchChecks.heard(m, func(m *mirror.Mirror) bool { return m.Delivered() >= changed })
		},
		now: e.options.Now, log: e.log,
	})
	e.bundles = &bundleFetcher{fetch: e.fetchBundle, failed: func(vm call.VMID, err error) {
		e.log.WithFields(logrus.Fields{"event": "bundle", "peer": vm}).WithError(err).Warn("fetching the configuration from a VM failed")
	}}
	e.watchChecks = newWatchChecks(c.watchLimit(), e.watchRestarted, e.log)
	if e.probe, err = e.newProbe(); err != nil {
		return errors.Trace(err)
	}
	e.holds = newHolds(time.Duration(holdFraction * float64(c.changeBound())))
	e.holds.age, e.holds.read, e.holds.storeUp, e.holds.log = e.probe.oldest, e.probe.readNow, e.storeStatus.up, e.log
	e.holds.observe = func(reason holdReason) { e.metrics.holds.WithLabelValues(string(reason)).Inc() }
	// A record of crashes may be StableTime old before it has to be known: fewer calls of the store are
	// enough for these.
	e.probe.pauses = map[string]time.Duration{suspectPrefix: c.StableTime}
	e.probe.recovered = func(lastDown time.Duration) { e.replicas.storeRecovered(probePrefix, lastDown) }
	if e.readers, err = newReaders(readersConfig{
		self: c.VM, zone: c.Zone, maxAge: c.listAge(), minVMs: c.ReadersFrom, others: e.members.others, isProber: e.probe.isProber, storeUp: e.storeStatus.up,
		digest: e.replicas.digest, notify: e.gossip.Notify, ahead: e.clocks.ahead, now: e.options.Now, log: e.log,
	}); err != nil {
		return errors.Trace(err)
	}
	e.metrics = newMetrics(prometheus.NewRegistry(), e)
	if e.duties, err = e.newDuties(); err != nil {
		return errors.Trace(err)
	}
	if e.duties != nil {
		e.metrics.addDuties(e)
	}
	if seams := e.scalerSeams(); seams != nil {
		if e.autoscaler, err = newAutoscaler(e, *seams); err != nil {
			return errors.Trace(err)
		}
	}
	e.proxy, err = proxy.New(e.proxyConfig())
	return errors.Trace(err)
}

func (e *Entry) newProbe() (*probe, error) {
	c := e.options.Config
	schedule, err := prober.New(prober.Config{Self: c.VM, Interval: c.probeInterval(), Step: c.probeStep()})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &probe{
		list: e.options.Source.Store.List, members: e.members, push: e.pushReplicas, reads: e.reads, schedule: schedule,
		grace: c.probeGrace(), interval: c.probeInterval(), gossipFrom: c.ReadersFrom, replicaPrefix: e.options.Source.ReplicaPrefix, log: e.log,
		observe: func(reason prober.Reason, result probeResult) {
			e.metrics.probes.WithLabelValues(string(reason), string(result)).Inc()
		},
		restarted: e.watchRestarted,
	}, nil
}

func (e *Entry) watchRestarted(prefix string, noticed watchNotice) {
	if prefix == e.options.Source.ConfigKey {
		e.configRestarts.Add(1)
	}
	e.metrics.watchRestarts.WithLabelValues(prefix, string(noticed)).Inc()
}

func (e *Entry) newOrigins() (*origins, error) {
	writer, err := newOriginWriter(originWriterConfig{
		store: e.options.Source.Store, now: e.options.Now, log: e.log,
		observe: func(written bool, records int) { e.metrics.observeStreamRecords(written, records) },
	})
	if err != nil {
		return nil, errors.Trace(err)
	}
	return &origins{
		registry: origin.New(origin.Config{Keep: e.options.Config.StreamKeep}), store: e.options.Source.Store, storeUp: e.storeStatus.up, items: e.items,
		push:   func(now time.Time, items spread.Items) <-chan peer.PushResult { return e.gossip.Push(now, items) },
		outage: e.isOutage, fleet: e.possibleVMs, untold: map[string]streamRecord{},
		services: func() map[call.Model]bool { return e.tables.Current().Resumed() }, vms: e.members.count, random: e.random,
		now: e.options.Now, log: e.log, bases: map[call.Model]time.Time{},
		writer: writer,
	}, nil
}

func (e *Entry) proxyConfig() proxy.Config {
	c := e.commonProxyConfig()
	if e.duties != nil && e.duties.counter != nil {
		c.RunStarted = e.duties.runStarted
	}
	return c
}

func (e *Entry) commonProxyConfig() proxy.Config {
	return proxy.Config{
		Headers: e.options.Headers, Zone: e.options.Config.Zone, Table: e.currentTable, TableIsCurrent: e.tableIsCurrent,
		Router: e.router, Retry: e.retry, Open: e.client.Open,
		Admit: func() bool { return e.drain.Admit(e.options.Now()) }, Finish: e.drain.Finish,
		Stopping: func() bool { return !e.drain.Ready() }, Ended: e.requests,
		Random: e.random, Now: e.options.Now, Log: e.log, Observe: e.observeRequest,
		Fair: e.fair, ObserveShare: func(v fair.Verdict) { e.metrics.observeShare(v) },
		Forbids: e.crashes.forbids, HasCrashed: e.crashes.hasCrashed, RunLost: e.crashes.runLost, RunCompleted: e.crashes.runCompleted,
		Replaced: func(id call.ReplicaID) {
			if e.replicas.replaced(id) {
				e.crashes.tellEnd(id)
			}
		},
		StreamBegins: e.origins.begins, StreamMayBegin: e.origins.mayBegin, StreamOrigin: e.origins.find, StreamPrefers: e.origins.prefers,
		Answered: func(id call.ReplicaID, sent time.Time, info proxy.ResponseInfo) {
			now := e.options.Now()
			e.limits.answered(now, id, sent, info)
			e.notices.answered(now, id, info)
			e.crashes.ends.answered(id, sent)
		},
		MaxBodyMemory: int64(bodyMemoryFraction * float64(e.options.Config.MemoryBytes)),
		RetryShare:    func() float64 { return e.config.Load().RetryRatio * budgetFraction },
	}
}

// observeRequest passes a finished request on to those that measure.
func (e *Entry) observeRequest(stats proxy.RequestStats) {
	e.metrics.observe(stats)
	if e.autoscaler != nil {
		e.autoscaler.observe(e.options.Now(), stats)
	}
}

// random returns a random number in [0, 1).
func (e *Entry) random() float64 {
	e.rngMu.Lock()
	defer e.rngMu.Unlock()
	return e.rng.Float64()
}

// Ready reports whether this VM is ready for requests: no stop has begun, and it has a
// routing table, a list of replicas and the records of crashes, if it can get those soon.
func (e *Entry) Ready() bool {
	return e.drain.Ready() && e.tables.Current() != nil && e.replicas.hasList() &&
		(e.crashes.read.Load() || !e.storeStatus.up() || !e.options.Now().Before(e.crashes.readBy))
}

// UsableReplicas returns the number of replicas that may get new work.
func (e *Entry) UsableReplicas() int { return e.replicas.usable() }

// VMs returns the number of known entry VMs, including this one.
func (e *Entry) VMs() int { return e.members.count() }

// StoreUp reports whether the last reads of the platform's store succeeded.
func (e *Entry) StoreUp() bool { return e.storeStatus.up() }

// possibleVMs returns the number of VMs that there may be, this one and those out of touch included.
func (e *Entry) possibleVMs() int {
	if e.hasOtherSeeds() {
		return max(2, e.fleetSize.known())
	}
	return e.fleetSize.known()
}

// isOutage reports whether the store is down for all VMs, as far as they have said: each has announced
// that it cannot read the store, and one of them has answered within isolatedAfter.
func (e *Entry) isOutage(now time.Time) bool {
	if e.storeStatus.up() {
		return false
	}
	others := e.members.others()
	if len(others) == 0 {
		return e.possibleVMs() == 1
	}
	return e.members.contactedWithin(now, isolatedAfter) && !slices.ContainsFunc(others, func(m member) bool { return !m.storeLost })
}

// currentTable returns the routing table for a request, after a read of the store if the table may be too
// old.
func (e *Entry) currentTable() *table.Table {
	e.holds.wait()
	return e.tables.Current()
}

// tableIsCurrent reports whether the routing table is known to be the newest: the store
// can be read, or a peer has answered recently.
func (e *Entry) tableIsCurrent() bool {
	return e.storeStatus.up() || e.members.contactedWithin(e.options.Now(), currentFor)
}

// applyItems applies the changes and ends of replicas, the records of crashes and the limits
// among the gossip items that changed.
func (e *Entry) applyItems(now time.Time, changed spread.Items) {
	var newest kvs.Revision
	for _, item := range changed {
		switch item.Kind {
		case kindReplica:
			e.replicas.applyItem(item)
			newest = max(newest, kvs.Revision(item.Version))
		case kindCrash, kindPartCrash:
			e.crashes.apply(now, item.Key, item.Value)
		case kindReplicaEnd:
			e.crashes.replicaEnded(call.ReplicaID(item.Key), false)
		case kindLimit:
			e.limits.apply(now, item)
		case kindDuty:
			e.duties.apply(now, item)
		case kindRead:
			e.reads.apply(now, item)
		}
	}
	e.heardReplicas(newest)
}

// pushReplicas sends all VMs the changes of replicas that are newer than a revision.
// Every exchange also carries the version of the configuration.
func (e *Entry) pushReplicas(after kvs.Revision) {
	now := e.options.Now()
	var items spread.Items
	for _, item := range e.items.All(now, kindReplica) {
		if item.Version > uint64(after) {
			items = append(items, item)
		}
	}
	e.gossip.Push(now, items)
}

// contactSeeds begins an exchange with each seed that is not known yet. If the store has
// not delivered the configuration and the list of replicas yet, it also fetches the
// bundles of some peers, unless a stop has begun.
func (e *Entry) contactSeeds(now time.Time) {
	for _, seed := range e.members.unknownSeeds(e.config.Load().Seeds) {
		e.gossip.ContactAddress(now, seed)
	}
	if e.Ready() || !e.drain.Ready() {
		return
	}
	peers := e.members.peers()
	e.rngMu.Lock()
	e.rng.Shuffle(len(peers), func(i, j int) { peers[i], peers[j] = peers[j], peers[i] })
	e.rngMu.Unlock()
	for _, p := range peers[:min(maxFetches, len(peers))] {
		e.bundles.offer(p, func() bool { return !e.Ready() })
	}
}
