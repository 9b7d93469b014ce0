// Package entry makes one entry VM's process of the parts, for a platform that
// hands out the configuration and the list of replicas through its store.
//
// The process keeps nothing on disk and asks the store nothing for a request: it
// watches the configuration and the replicas' entries, and passes changes on to
// the other VMs, so that one that the store turns away learns them too.
//
// # Usage
//
//	e, err := entry.New(entry.Options{Config: config, Source: source, Headers: headers, Log: log, Now: time.Now, Seed: seed})
//	err = e.Run(ctx) // ctx ends with the signal to stop
package entry

import (
	"context"
	"math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/drain"
	"gentianwell/core/fleet"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/spread"
	"gentianwell/core/timer"
	"gentianwell/io/back"
	"gentianwell/io/dial"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

const (
	// stopMargin is the time between the end of a stop and the kill.
	stopMargin = 500 * time.Millisecond
	// gossipEvery is the time between rounds of gossip.
	gossipEvery = 400 * time.Millisecond
	// sureFor is how long the last word of the store or of a peer counts as fresh.
	sureFor = 2 * time.Second
	// idleTimeout closes unused connections to backend servers, well before these
	// close them: a request that crosses a close may have run or not.
	idleTimeout = 2 * time.Second
	// maxIdle bounds the unused connections to one backend server.
	maxIdle = 8
)

// The streams of random numbers that are derived from Options.Seed.
const (
	randRouter = iota + 1
	randRetry
	randGossip
	randConfigMirror
	randReplicaMirror
	randDraw
)

// Entry is one entry VM's process.
type Entry struct {
	o      Options
	config atomic.Pointer[Config]
	log    logrus.FieldLogger
	timers *timer.Service
	drain  *drain.Machine
	router *route.Router
	retry  *retry.Policy
	client *back.Client
	pool   *peer.Pool
	gossip *peer.Gossip
	news   *spread.Store

	tables   *tables
	replicas *replicas
	loads    *loads
	members  *members
	upstream *link
	probe    *probe
	proxy    *proxy.Server
	metrics  *metrics

	drawMu sync.Mutex
	draw   *rand.Rand
	// stopped is closed when a planned stop is over.
	stopped chan struct{}
	// fetching is true while a peer's bundle is being fetched.
	fetching atomic.Bool
}

// New returns a process that does not run yet.
//
// Errors: NotValid.
func New(o Options) (*Entry, error) {
	o.Config.Defaults()
	if err := o.Config.Validate(); err != nil {
		return nil, errors.Annotate(err, "entry.New")
	}
	if o.Dial == nil {
		o.Dial = dial.TCP(dial.Config{})
	}
	e := &Entry{o: o, log: o.Log, timers: timer.New(timer.Config{Now: o.Now}), draw: o.rand(randDraw), stopped: make(chan struct{})}
	e.config.Store(&o.Config)
	e.drain = drain.New(drain.Config{Notice: o.Config.Notice, Limit: o.Config.StopLimit - stopMargin})
	if err := e.makeParts(); err != nil {
		return nil, errors.Annotate(err, "entry.New")
	}
	return e, nil
}

func (o *Options) rand(stream uint64) *rand.Rand { return rand.New(rand.NewPCG(o.Seed, stream)) }

func (e *Entry) makeParts() error {
	c := e.o.Config
	var err error
	if e.router, err = route.New(routerConfig(c, e.o.rand(randRouter))); err != nil {
		return errors.Trace(err)
	}
	if e.retry, err = retry.New(retry.Config{Rand: e.o.rand(randRetry), MinPerSecond: least, Burst: 1}); err != nil {
		return errors.Trace(err)
	}
	e.client, err = back.New(back.Config{Dial: e.o.Dial, DialTimeout: dialTimeout, IdleTimeout: idleTimeout, MaxIdleConns: maxIdle, Log: e.log})
	if err != nil {
		return errors.Trace(err)
	}
	e.news = spread.New(spread.Config{Self: c.VM, Rand: e.o.rand(randGossip)})
	e.tables = &tables{read: e.o.Source.ParseConfig, log: e.log}
	e.loads = &loads{router: e.router}
	e.replicas = &replicas{
		know:   e.loads.know,
		prefix: e.o.Source.ReplicaPrefix, record: e.o.Source.ParseReplica, router: e.router, news: e.news, now: e.o.Now, log: e.log,
		registry: fleet.New(fleet.Config{}), values: map[call.ReplicaID][]byte{},
	}
	e.members = &members{self: c.VM, address: c.PeerAddress, store: e.news, now: e.o.Now, log: e.log, silent: map[call.VMID]bool{}}
	e.upstream = &link{now: e.o.Now, log: e.log, regained: e.replicas.regained, changed: func() { e.members.announce(e.o.Now()) }}
	e.members.storeUp = e.upstream.up
	e.pool = peer.NewPool(peer.PoolConfig{Dial: e.o.Dial})
	e.gossip = peer.NewGossip(peer.GossipConfig{
		Self: c.VM, Zone: c.Zone, Pool: e.pool, Store: e.news, Peers: e.members.peers, Now: e.o.Now,
		SettingsVersion: func() int64 { return e.tables.Current().Version() },
		ItemsChanged:           e.heard, ExchangeDone: e.members.contact, NewerSettings: e.behind, Settings: e.answer,
		Loads: e.loads.message, ReceiveLoads: e.loads.heard,
		Demands: demands{e.router}.message, ReceiveDemands: demands{e.router}.heard,
	})
	e.probe = &probe{list: e.o.Source.Store.List, members: e.members, push: e.push, log: e.log}
	e.metrics = newMetrics(prometheus.NewRegistry(), e)
	e.proxy, err = proxy.New(e.proxyConfig())
	return errors.Trace(err)
}

func (e *Entry) proxyConfig() proxy.Config {
	return proxy.Config{
		Headers: e.o.Headers, Zone: e.o.Config.Zone, Table: e.tables.Current, TableIsCurrent: e.sure,
		Router: e.router, Retry: e.retry, Open: e.client.Open,
		Admit: func() bool { return e.drain.Admit(e.o.Now()) }, Finish: e.drain.Finish,
		Stopping: func() bool { return !e.drain.Ready() },
		Random:   e.random, Now: e.o.Now, Log: e.log, Observe: e.metrics.observe,
		RetryShare: func() float64 { return e.config.Load().RetryRatio * budgetPart },
	}
}

// random returns a random number from 0 to below 1.
func (e *Entry) random() float64 {
	e.drawMu.Lock()
	defer e.drawMu.Unlock()
	return e.draw.Float64()
}

// Ready reports whether this VM asks for callers.
func (e *Entry) Ready() bool {
	return e.drain.Ready() && e.tables.Current() != nil && e.replicas.known()
}

// UsableReplicas returns how many replicas may get new work.
func (e *Entry) UsableReplicas() int { return e.replicas.usable() }

// VMs returns how many entry VMs are known, this one included.
func (e *Entry) VMs() int { return e.members.count() }

// StoreUp reports whether the platform's store could be read the last time.
func (e *Entry) StoreUp() bool { return e.upstream.up() }

// sure reports whether the configuration in force is the newest as far as can be
// known.
func (e *Entry) sure() bool { return e.upstream.up() || e.members.inTouch(e.o.Now(), sureFor) }

// heard takes what other VMs have told.
func (e *Entry) heard(_ time.Time, changed spread.Items) {
	for _, item := range changed {
		if item.Kind == kindReplica {
			e.replicas.heard(item)
		}
	}
}

// push tells all VMs what is newer than a revision: the version of the
// configuration goes with every exchange.
func (e *Entry) push(than kvs.Revision) {
	now := e.o.Now()
	var items spread.Items
	for _, item := range e.news.All(now, kindReplica) {
		if item.Version > uint64(than) {
			items = append(items, item)
		}
	}
	e.gossip.Push(now, items)
}

// greet calls the seeds that are not known yet, and asks for a bundle where the
// store has given none.
func (e *Entry) greet(now time.Time) {
	for _, seed := range e.members.strangers(e.config.Load().Seeds) {
		e.gossip.ContactAddress(now, seed)
	}
	if e.Ready() || !e.drain.Ready() {
		return
	}
	for _, p := range e.members.peers() {
		go e.fetch(p.ID, p.Address, 0)
		return
	}
}

// fetch gets and adopts a peer's bundle.
func (e *Entry) fetch(vm call.VMID, address netip.AddrPort, have int64) {
	if !e.fetching.CompareAndSwap(false, true) {
		return
	}
	defer e.fetching.Store(false)
	var raw []byte
	err := e.pool.Call(context.Background(), address, settingsCall(have, &raw))
	if err == nil && len(raw) > 0 {
		err = e.adopt(vm, raw)
	}
	if err != nil {
		e.log.WithFields(logrus.Fields{"event": "bundle", "peer": vm}).WithError(err).Warn("no configuration from a VM")
	}
}
