package node

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/oklog/run"
	"github.com/sirupsen/logrus"

	"gentianwell/core/drain"
	"gentianwell/core/guard"
	"gentianwell/core/member"
	"gentianwell/io/admit"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
	"gentianwell/io/runner"
)

// closeTimeout bounds how long the HTTP servers take to close their connections
// after the stop.
const closeTimeout = 2 * time.Second

// Run serves until ctx ends, then shuts down gracefully: requests in progress are
// answered first. Stop ends it sooner, and so does the settings' limit on a stop.
//
// Errors: the error of listening on an address, or of a part that failed.
func (n *Node) Run(ctx context.Context) error {
	listeners, err := n.listen()
	if err != nil {
		return errors.Annotate(err, "Node.Run")
	}
	partCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var g run.Group
	g.Add(func() error { return n.waitStop(ctx, partCtx) }, func(error) { n.Stop() })
	part := func(fn func(context.Context) error) {
		g.Add(func() error { return fn(partCtx) }, func(error) { cancel() })
	}
	vms, err := mirror.New(mirror.Config{
		Service: n.kvs, Prefix: member.ListPrefix, Changed: n.applyVMList, Rand: n.rand(randMirror), Log: n.log,
	})
	if err != nil {
		return errors.Annotate(err, "Node.Run")
	}
	n.subscribe()
	part(n.timers.Run)
	part(vms.Run)
	part(n.follower.Run)
	part(n.claims.Run)
	part(n.placer.Run)
	part(n.servePeers(listeners.peers))
	callers := n.front.HTTP()
	callers.BaseContext = func(net.Listener) context.Context { return n.requestCtx }
	addHTTP(&g, callers, listeners.callers, n.c.CallersTLS)
	addHTTP(&g, n.operatorsHTTP(), listeners.operators, nil)
	n.log.WithFields(n.build).WithFields(logrus.Fields{
		"event": "started", "vm": n.c.ID, "zone": n.c.Zone, "callers": listeners.callers.Addr(),
		"peers": listeners.peers.Addr(), "operators": listeners.operators.Addr(),
	}).Info("entry VM started")
	return errors.Annotate(g.Run(), "Node.Run")
}

// listeners holds the listeners, one for each address of the process.
type listeners struct{ callers, peers, operators net.Listener }

func (n *Node) listen() (listeners, error) {
	var l listeners
	var open []net.Listener
	for _, want := range []struct {
		name    string
		address netip.AddrPort
		to      *net.Listener
	}{{"callers", n.c.Callers, &l.callers}, {"peers", n.c.Peers, &l.peers}, {"operators", n.c.Operators, &l.operators}} {
		listener, err := net.Listen("tcp", want.address.String())
		if err != nil {
			for _, o := range open {
				_ = o.Close()
			}
			return listeners{}, errors.Annotate(err, want.name)
		}
		open = append(open, listener)
		*want.to = n.admit(want.name, listener)
	}
	return l, nil
}

// admit returns a listener that admits connections, with its metrics.
func (n *Node) admit(name string, listener net.Listener) net.Listener {
	plan := guard.Limits{MemoryBytes: int64(n.c.MemoryMB) << 20, MaxFds: n.c.MaxFds}.Plan()
	c := admit.Config{Listener: listener, Name: name, Guard: plan.Service, HTTP: true, Log: n.log}
	switch name {
	case "callers":
		c.Guard, c.HTTP = plan.Callers, n.c.CallersTLS == nil
		// Bodies count with the heads.
		c.Guard.MaxBytes += plan.BodyBytes
	case "peers":
		c.Guard, c.HTTP, c.Messages = plan.Peers, false, true
	}
	l := admit.New(c)
	admit.Register(n.metrics.Registry(), l)
	return l
}

// subscribe starts the periodic work.
func (n *Node) subscribe() {
	n.timers.Every("gossip", gossipInterval, n.gossip.Round)
	n.timers.Every("limits", limitInterval, n.limits.requestShares)
	n.timers.Every("fleet", fleetInterval, n.updateFleet)
	n.timers.Every("loads", loadInterval, func(time.Time) {
		n.loadPoller.poll(n.router.Watched())
		n.silentPoller.poll(n.fleet.silentReplicas())
	})
}

// updateFleet refreshes the fleet, passes it to the router and publishes this VM's
// statement, opinions and crash records that are due.
func (n *Node) updateFleet(now time.Time) {
	n.fleet.refresh(now)
	n.updateRouter(now)
	n.members.publishDue(now, n.fleet.usableEntryCount())
	n.publishCrashRecords(now)
}

// applyVMList applies a new copy of the platform's list of VMs.
func (n *Node) applyVMList(snap kvs.Snapshot) {
	n.fleet.setList(snap)
	n.updateRouter(n.now())
}

// updateRouter passes the usable backend servers and the number of usable entry VMs
// to the router.
func (n *Node) updateRouter(now time.Time) {
	n.router.SetReplicas(now, n.fleet.replicas())
	n.router.SetVMs(n.fleet.usableEntryCount())
}

func (n *Node) servePeers(listener net.Listener) func(context.Context) error {
	return func(ctx context.Context) error {
		serverTLS, err := n.c.PeersTLS.serverTLS()
		if err != nil {
			return errors.Annotate(err, "Node.servePeers")
		}
		srv, err := peer.NewServer(peer.ServerConfig{Handler: n.gossip, TLS: serverTLS})
		if err != nil {
			return errors.Annotate(err, "Node.servePeers")
		}
		defer n.pool.Close()
		return errors.Trace(srv.Serve(ctx, listener))
	}
}

// addHTTP adds an HTTP server to the group. It uses TLS if files are given.
func addHTTP(g *run.Group, srv *http.Server, listener net.Listener, files *TLSFiles) {
	serve := func() error { return srv.Serve(listener) }
	if files != nil {
		serve = func() error { return srv.ServeTLS(listener, files.CertFile, files.KeyFile) }
	}
	g.Add(func() error {
		if err := serve(); !errors.Is(err, http.ErrServerClosed) {
			return errors.Annotatef(err, "serving %s", listener.Addr())
		}
		return nil
	}, func(error) {
		ctx, cancel := context.WithTimeout(context.Background(), closeTimeout)
		defer cancel()
		if err := srv.Shutdown(ctx); err != nil {
			_ = srv.Close()
		}
	})
}

// waitStop begins a planned stop when ctx ends and returns when a planned stop has
// ended, or when partCtx ends because a part failed.
func (n *Node) waitStop(ctx, partCtx context.Context) error {
	done := make(chan struct{})
	var once sync.Once
	cancel := n.timers.Every("drain", drainInterval, func(now time.Time) {
		if n.drain.Advance(now) == drain.PhaseStopped {
			once.Do(func() { close(done) })
		}
	})
	defer cancel()
	select {
	case <-ctx.Done():
		n.StartDrain()
	case <-done:
	case <-partCtx.Done():
	}
	select {
	case <-done:
	case <-partCtx.Done():
	}
	s := n.drain.Status()
	n.log.WithFields(logrus.Fields{"event": "stopped", "vm": n.c.ID, "ending": s.Ending, "cut": s.InFlight}).Info("entry VM stopped")
	return nil
}

// StartDrain begins a planned stop and announces to the other VMs that this one is
// leaving.
func (n *Node) StartDrain() {
	n.drain.Start(n.now())
	n.members.leave(n.now())
	n.log.WithFields(logrus.Fields{"event": "draining", "vm": n.c.ID, "inFlight": n.drain.Status().InFlight}).Info("planned stop has begun")
}

// Stop ends the process at once and interrupts the requests in progress.
func (n *Node) Stop() {
	interrupted := n.drain.Force()
	// The callers of the interrupted requests still get an answer that says so, as far
	// as closeTimeout allows.
	n.cancelRequests(runner.ErrStopping)
	if interrupted > 0 {
		n.log.WithFields(logrus.Fields{"event": "forced", "vm": n.c.ID, "cut": interrupted}).Warn("forced stop; interrupting the requests in progress")
	}
}

// newID returns a generator of request ids. They differ between VMs, by the VM's id,
// and between starts of a VM, by the seed.
func (n *Node) newID() func() string {
	source := rand.New(rand.NewPCG(n.seed, randID))
	var mu sync.Mutex
	return func() string {
		mu.Lock()
		defer mu.Unlock()
		return fmt.Sprintf("%s-%016x", n.c.ID, source.Uint64())
	}
}
