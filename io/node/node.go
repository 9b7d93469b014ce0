// Package node assembles and runs the process of one entry VM: it follows the
// platform's list of VMs and the settings, serves callers, peers and operators,
// and shuts down gracefully, without interrupting requests.
//
// # Usage
//
//	n, err := node.New(node.Options{Config: config, Log: log, Now: time.Now, Seed: seed})
//	err = n.Run(ctx) // until ctx ends and all requests are answered
package node

import (
	"context"
	crand "crypto/rand"
	"math/rand/v2"
	"time"

	"github.com/juju/errors"
	"github.com/prometheus/client_golang/prometheus"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/drain"
	"gentianwell/core/estim"
	"gentianwell/core/member"
	"gentianwell/core/place"
	"gentianwell/core/poison"
	"gentianwell/core/retry"
	"gentianwell/core/route"
	"gentianwell/core/sched"
	"gentianwell/core/spread"
	"gentianwell/core/timer"
	"gentianwell/io/back"
	"gentianwell/io/claims"
	"gentianwell/io/conf"
	"gentianwell/io/dial"
	"gentianwell/io/front"
	"gentianwell/io/kvs"
	"gentianwell/io/metric"
	"gentianwell/io/oper"
	"gentianwell/io/peer"
	"gentianwell/io/peerpb"
	"gentianwell/io/placer"
	"gentianwell/io/runner"
)

// The intervals of periodic work.
const (
	queueInterval  = 50 * time.Millisecond
	gossipInterval = 500 * time.Millisecond
	loadInterval   = time.Second
	fleetInterval  = 500 * time.Millisecond
	drainInterval  = 200 * time.Millisecond
	limitInterval  = time.Second
)

// Options configures a Node.
type Options struct {
	Config Config
	Log    logrus.FieldLogger
	Now    func() time.Time
	// Build describes the program in the log line with which the process starts. It is optional.
	Build logrus.Fields
	// Seed seeds all random choices.
	Seed uint64
	// Dial opens connections to peers, backend servers and the platform; nil means TCP
	// connections that detect a lost peer within three seconds.
	Dial peer.DialFunc
	// Placement configures the planning of the orders to engines to load and unload
	// models; zero fields get their defaults.
	Placement place.Config
}

// Node is the process of one entry VM.
type Node struct {
	c      Config
	log    logrus.FieldLogger
	now    func() time.Time
	seed   uint64
	build  logrus.Fields
	timers *timer.Service
	drain  *drain.Machine
	// requestCtx is the parent context of all callers' requests; cancelRequests
	// cancels it.
	requestCtx     context.Context
	cancelRequests context.CancelCauseFunc
	kvs            kvs.Service
	fleet          *fleet
	members        *members
	poison         *poison.Registry
	follower       *conf.Follower
	oper           *oper.API
	router         *route.Router
	client         *back.Client
	runner         *runner.Runner
	front          *front.Server
	pool           *peer.Pool
	store          *spread.Store
	gossip         *peer.Gossip
	loadPoller     *loadPoller
	silentPoller   *loadPoller
	metrics        *metric.Set
	limits         *limits
	claims         *claims.Claims
	placer         *placer.Placer
	estimator      *sharedEstimator
}

// New validates the options and assembles the parts; it starts nothing.
//
// Errors: Problems if the configuration is not valid; NotValid, or the error of
// reading a TLS file, from a part.
func New(o Options) (*Node, error) {
	o.Config.Defaults()
	if err := o.Config.Validate(); err != nil {
		return nil, errors.Trace(err)
	}
	o.defaultDial()
	n := &Node{c: o.Config, log: o.Log, now: o.Now, seed: o.Seed, build: o.Build}
	n.requestCtx, n.cancelRequests = context.WithCancelCause(context.Background())
	n.timers = timer.New(timer.Config{Now: o.Now})
	n.drain = drain.New(drain.Config{Notice: time.Duration(o.Config.Notice)})
	n.kvs = kvs.NewGateway(kvs.GatewayConfig{Addresses: o.Config.Platform, Dial: o.Dial}).Service()
	for _, part := range []func(Options) error{
		n.makeFleet, n.makeSettings, n.makePeers, n.makeLimits, n.makeClaims, n.makeRouting, n.makePlacer, n.makeFront,
	} {
		if err := part(o); err != nil {
			return nil, errors.Annotate(err, "node.New")
		}
	}
	return n, nil
}

// pauseTimeout is how long a peer may read nothing while bytes wait for it.
const pauseTimeout = 3 * time.Second

func (o *Options) defaultDial() {
	if o.Dial == nil {
		o.Dial = dial.TCP(dial.Config{UserTimeout: pauseTimeout})
	}
}

// rand returns a separate random source for a part, so that the numbers one part
// draws do not change those of another.
func (n *Node) rand(part uint64) *rand.Rand { return rand.New(rand.NewPCG(n.seed, part)) }

// The streams of random numbers, one for each part that draws any.
const (
	randRoute uint64 = iota
	randQueue
	randSpread
	randMirror
	randSettings
	randLimits
	randID
	randRetry
)

func (n *Node) makeFleet(Options) error {
	view, err := member.New(member.Config{Zone: n.c.Zone, StatementMaxAge: statementTTL})
	if err != nil {
		return errors.Trace(err)
	}
	n.fleet = &fleet{self: n.c.ID, view: view, now: n.now, log: n.log}
	n.poison, err = poison.New(poison.Config{Self: n.c.ID})
	return errors.Trace(err)
}

func (n *Node) makeRouting(o Options) error {
	var err error
	n.router, err = route.New(route.Config{Self: n.c.ID, Zone: n.c.Zone, Rand: n.rand(randRoute)})
	if err != nil {
		return errors.Trace(err)
	}
	if n.client, err = back.New(back.Config{Dial: o.Dial, Log: o.Log, ResponseBroken: func(reason string) { n.metrics.ResponseBroken(reason) }}); err != nil {
		return errors.Trace(err)
	}
	estimator, err := estim.New(estim.Defaults())
	if err != nil {
		return errors.Trace(err)
	}
	n.estimator = &sharedEstimator{estimator: estimator, now: n.now}
	n.loadPoller, n.silentPoller = n.newLoadPoller(maxWatchedReads), n.newLoadPoller(maxSilentReads)
	qc := sched.Defaults()
	qc.Rand = n.rand(randQueue)
	qc.Rate = n.estimator.rate
	queue, err := sched.New(qc)
	if err != nil {
		return errors.Trace(err)
	}
	n.metrics = metric.New(metric.Config{
		Registry: prometheus.NewRegistry(), Waiting: func() int { return n.runner.Waiting() },
		InFlight: func() int { return n.drain.Status().InFlight }, SettingsVersion: n.settingsVersion,
	})
	retryPolicy, err := retry.New(retry.Config{Rand: n.rand(randRetry)})
	if err != nil {
		return errors.Trace(err)
	}
	n.runner, err = runner.New(runner.Config{
		Queue: queue, Router: n.router, Send: n.client.Do, Estimate: n.estimator.estimate, Observe: n.metrics.Observe,
		Allow: n.limits.allow, ChargeExcess: n.limits.settle, Learn: n.estimator.learn, Dispatched: n.estimator.dispatched,
		Claims: runner.Claims{
			Begin: n.claims.Begin, Finish: n.claims.Finish, Release: n.claims.Release, RetryAfter: n.claims.RetryAfter,
		},
		Retry: retryPolicy, Poison: n.poison, Reserve: n.reserve, PushCrashRecords: n.pushCrashRecords, SubscribeTicks: n.everyQueueTick, Alive: n.client.Alive,
		Now: n.now, Log: n.log,
	})
	return errors.Trace(err)
}

func (n *Node) makeLimits(Options) error {
	var err error
	n.limits, err = newLimits(&limits{
		self: n.c.ID, zone: n.c.Zone, now: n.now, pool: n.pool, zones: n.fleet.zones,
	}, n.rand(randLimits))
	return errors.Trace(err)
}

func (n *Node) makeClaims(Options) error {
	n.claims = claims.New(claims.Config{
		Service: n.kvs, VM: n.c.ID, Nonce: crand.Text, Now: n.now, Every: n.timers.Every, Log: n.log,
		VMs: func() int { return len(n.fleet.peers()) + 1 },
	})
	return nil
}

func (n *Node) everyQueueTick(tick func(time.Time)) func() {
	return n.timers.Every("queue", queueInterval, tick)
}

func (n *Node) newLoadPoller(maxReads int) *loadPoller {
	return &loadPoller{
		fetch: n.client.FetchLoad, report: n.router.Report, view: n.fleet.view, now: n.now,
		reading: map[call.ReplicaID]bool{}, maxReads: maxReads,
	}
}

func (n *Node) makePeers(o Options) error {
	clientTLS, err := n.c.PeersTLS.clientTLS()
	if err != nil {
		return errors.Trace(err)
	}
	n.pool = peer.NewPool(peer.PoolConfig{Dial: o.Dial, TLS: clientTLS})
	n.store = spread.New(spread.Config{Self: n.c.ID, Rand: n.rand(randSpread)})
	own, err := member.NewSelf(n.now(), member.VM{
		ID: n.c.ID, Zone: n.c.Zone, Role: member.RoleEntry, Address: n.c.Callers, PeerAddress: n.c.Peers,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.members = &members{self: n.c.ID, view: n.fleet.view, own: own, store: n.store, log: n.log}
	n.gossip = peer.NewGossip(peer.GossipConfig{
		Self: n.c.ID, Zone: n.c.Zone, Pool: n.pool, Store: n.store, Peers: n.fleet.peers, Now: n.now,
		SettingsVersion: n.settingsVersion,
		ItemsChanged:    n.applyItems,
		ExchangeDone:    n.members.contacted,
		NewerSettings:   func(vm call.VMID, version int64, _ peer.MessageKind) { n.follower.ReportPeerVersion(vm, version) },
		Settings:        n.follower.NewerDocument,
		Shares: func(ctx context.Context, req *peerpb.SharesRequest) (*peerpb.SharesReply, error) {
			return n.limits.serveShares(ctx, req)
		},
	})
	return nil
}

func (n *Node) makeFront(Options) error {
	p := policies{snapshot: n.snapshot}
	var err error
	n.front, err = front.New(front.Config{
		Zone: n.c.Zone, HasSettings: n.follower.Ready, Team: p.team, Policy: p.policy, Service: p.service, Models: p.models,
		Refused: n.metrics.Refused,
		Run:     n.runner.Run, Admit: func() bool { return n.drain.Admit(n.now()) }, Finish: n.drain.Finish,
		Ready: n.ready, Now: n.now, NewID: n.newID(), Log: n.log,
	})
	return errors.Trace(err)
}

// ready reports to the load balancer whether to send requests: settings are in
// force and no stop has begun.
func (n *Node) ready() bool { return n.drain.Ready() && n.follower.Ready() }
