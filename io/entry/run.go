package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/drain"
	"gentianwell/core/guard"
	"gentianwell/io/admit"
	"gentianwell/io/dial"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
	"gentianwell/io/scaler"
)

const (
	// shutdownTimeout is how long the components have to return after the last response.
	shutdownTimeout = 200 * time.Millisecond
	// stopPollInterval is how often a stopping process checks whether it is done.
	stopPollInterval = 50 * time.Millisecond
	// mirrorBackoff is the mean wait between attempts to read the store while it is
	// down: each call is billed, and a change has to be in force within seconds.
	mirrorBackoff = 700 * time.Millisecond
	// mirrorReread is how often everything is read again.
	mirrorReread = 2 * time.Minute
	// refreshInterval is how often the list is checked for replicas whose grace period
	// has ended.
	refreshInterval = 100 * time.Millisecond
	// budgetInterval is how often the share of the retry budget is updated.
	budgetInterval = time.Second
	// seedInterval is how often the seeds that are not known VMs are contacted.
	seedInterval = time.Second
	// pauseTimeout is how long a caller or backend server may read nothing while bytes wait
	// for it. A process that is suspended for a second or two is sound and goes on.
	pauseTimeout = 3 * time.Second
	// readyHeaderTimeout limits the time to read the header of a readiness check.
	readyHeaderTimeout = 2 * time.Second
	// serviceWriteTimeout limits the time to write a response to a readiness check or of the
	// metrics, serviceIdleTimeout how long a connection stays open between two of them.
	serviceWriteTimeout = 10 * time.Second
	serviceIdleTimeout  = 2 * time.Minute
	// serviceMaxHeaderBytes limits the header of a readiness check. Load balancers and
	// collectors of metrics send some hundred bytes.
	serviceMaxHeaderBytes = 16 << 10
)

// Run serves until ctx is canceled and then performs a planned stop: it reports that it
// is not ready, accepts requests until the load balancer has noticed, and returns when
// every request in progress has its response, at the latest Config.StopLimit after ctx
// was canceled.
//
// Errors: listening on an address failed, or a component failed.
func (e *Entry) Run(ctx context.Context) error {
	runCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	// Nothing writes records after this; whoever still waits for one must not wait on.
	defer e.origins.writer.queue.Close()
	defer e.crashes.writer.queue.Close()
	var group components
	add := func(name string, fn func(context.Context) error) { group.addWithContext(runCtx, cancel, name, fn) }
	callers, err := e.serveCallers(runCtx, &group)
	if err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	add("stop", func(runCtx context.Context) error { return e.stop(ctx, runCtx, callers) })
	if err := e.serveReadiness(runCtx, &group); err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	if err := e.servePeers(add); err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	for _, source := range []struct {
		name string
		make func() (*mirror.Mirror, error)
	}{{"configuration", e.configMirror}, {"replicas", e.replicaMirror}, {"crashes", e.crashMirror}} {
		m, err := source.make()
		if err != nil {
			return errors.Annotate(err, "Entry.Run")
		}
		add(source.name, m.Run)
		e.probe.mirrors = append(e.probe.mirrors, m)
		if m.Prefix() == e.options.Source.ReplicaPrefix {
			e.readers.setMirror(m)
		}
	}
	e.startTimers()
	e.startDuties(add)
	add("timers", e.timers.Run)
	c := e.options.Config
	e.log.WithFields(e.options.Build).WithFields(logrus.Fields{
		"event": "start", "vm": c.VM, "zone": c.Zone, "callers": c.CallerAddress, "ready": c.ReadinessAddress, "peers": c.PeerAddress, "store": c.StoreAddress,
		"seeds": len(c.Seeds), "stopLimit": c.StopLimit.String(),
	}).Info("entry VM started")
	ended := make(chan error, 1)
	go func() { ended <- group.actors.Run() }()
	select {
	case err := <-ended:
		return errors.Annotate(err, "Entry.Run")
	case <-e.stopped:
	}
	// Every request has its response: a component that does not return must not delay
	// the end of the process until the process is killed.
	select {
	case err := <-ended:
		return errors.Annotate(err, "Entry.Run")
	case <-time.After(shutdownTimeout):
		e.log.WithFields(logrus.Fields{"event": "stop", "parts": group.unfinished()}).Warn("components have not returned, the process exits without waiting for them")
		return nil
	}
}

// startTimers starts the periodic work.
func (e *Entry) startTimers() {
	e.timers.Every("replicas", refreshInterval, e.replicas.refresh)
	e.timers.Every("budget", budgetInterval, func(time.Time) { e.setBudget() })
	e.setBudget()
	e.timers.Every("hold", probeTick, e.holds.tick)
	e.timers.Every("probe", probeTick, e.probe.tick)
	e.timers.Every("origins", originWriteInterval, e.origins.tick)
	e.timers.Every("crashes", crashWriteInterval, e.crashes.writePending)
	if e.autoscaler != nil {
		e.timers.Every("scale", scaler.Interval, e.autoscaler.scaler.Tick)
	}
	if !e.options.Config.PeerAddress.IsValid() {
		return
	}
	e.members.announce(e.options.Now())
	e.timers.Every("alive", announceInterval, e.members.announce)
	e.timers.Every("greet", seedInterval, e.contactSeeds)
	e.timers.Every("gossip", gossipInterval, e.gossipRound)
	e.timers.Every("readers", readerInterval, e.readers.tick)
	e.contactSeeds(e.options.Now())
}

// serveCallers adds the server for callers. It keeps serving requests in progress while
// the process stops.
func (e *Entry) serveCallers(ctx context.Context, group *components) (*http.Server, error) {
	listener, err := dial.Listen(ctx, dial.Config{UserTimeout: pauseTimeout}, e.options.Config.CallerAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	srv := e.proxy.HTTP()
	admitted := e.admit(admit.Config{Listener: listener, Name: "callers", Guard: e.plan().Callers, HTTP: true})
	group.add("callers", func() error { return waitIfClosed(ctx, srv.Serve(e.proxy.WrapListener(admitted))) }, func(error) {
		if err := srv.Close(); err != nil {
			e.log.WithField("event", "stop").WithError(err).Warn("closing the callers' connections failed")
		}
	})
	return srv, nil
}

// waitIfClosed returns the error of a server. If the server was closed on purpose, it
// first waits until ctx is canceled, because connections may still be in use, and
// returns nil.
func waitIfClosed(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// serveReadiness adds the servers for readiness checks and metrics.
func (e *Entry) serveReadiness(ctx context.Context, group *components) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", e.metrics.handler())
	addresses := []netip.AddrPort{e.options.Config.ReadinessAddress}
	if e.options.Config.MetricsAddress.IsValid() {
		addresses = append(addresses, e.options.Config.MetricsAddress)
	}
	for i, address := range addresses {
		name := [...]string{"readiness", "metrics"}[i]
		listener, err := dial.Listen(ctx, dial.Config{}, address)
		if err != nil {
			return errors.Trace(err)
		}
		admitted := e.admit(admit.Config{Listener: listener, Name: name, Guard: e.plan().Service, HTTP: true})
		srv := serviceServer(mux)
		group.add("readiness at "+address.String(), func() error { return waitIfClosed(ctx, srv.Serve(admitted)) }, func(error) {
			if err := srv.Close(); err != nil {
				e.log.WithField("event", "stop").WithError(err).Warn("closing the load balancer's connections failed")
			}
		})
	}
	return nil
}

// serviceServer returns the server for readiness checks and metrics.
func serviceServer(handler http.Handler) *http.Server {
	srv := &http.Server{
		Handler: handler, ReadHeaderTimeout: readyHeaderTimeout, ReadTimeout: readyHeaderTimeout, WriteTimeout: serviceWriteTimeout,
		IdleTimeout: serviceIdleTimeout, MaxHeaderBytes: serviceMaxHeaderBytes,
	}
	admit.Bind(srv)
	return srv
}

// plan returns what the listeners may use.
func (e *Entry) plan() guard.Plan {
	c := e.options.Config
	return guard.Limits{MemoryBytes: c.MemoryBytes, MaxFds: c.MaxFds}.Plan()
}

// admit returns a listener that admits connections, with its metrics.
func (e *Entry) admit(c admit.Config) *admit.Listener {
	c.Log = e.log
	l := admit.New(c)
	admit.Register(e.metrics.registry, l)
	return l
}

// servePeers adds the server for other VMs.
func (e *Entry) servePeers(add func(string, func(context.Context) error)) error {
	if !e.options.Config.PeerAddress.IsValid() {
		return nil
	}
	listener, err := dial.Listen(context.Background(), dial.Config{}, e.options.Config.PeerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	srv, err := peer.NewServer(peer.ServerConfig{Handler: e.gossip})
	if err != nil {
		return errors.Trace(err)
	}
	admitted := e.admit(admit.Config{Listener: listener, Name: "peers", Guard: e.plan().Peers, Messages: true})
	add("peers", func(ctx context.Context) error { return srv.Serve(ctx, admitted) })
	return nil
}

func (e *Entry) configMirror() (*mirror.Mirror, error) {
	return e.mirrorWith(e.options.Source.ConfigKey, randConfigMirror, func(source mirror.Source) { e.hearing.answered(pathOf(source)) }, func(snap kvs.Snapshot) {
		for _, entry := range snap.Entries {
			if entry.Key == e.options.Source.ConfigKey {
				e.tables.adopt(entry.Value, sourceStore)
			}
		}
	})
}

func (e *Entry) replicaMirror() (*mirror.Mirror, error) {
	return e.mirror(e.options.Source.ReplicaPrefix, randReplicaMirror, e.replicas.applySnapshot)
}

func (e *Entry) crashMirror() (*mirror.Mirror, error) {
	return e.mirror(suspectPrefix, randCrashMirror, e.crashes.applySnapshot)
}

func (e *Entry) mirror(prefix string, stream uint64, changed func(kvs.Snapshot)) (*mirror.Mirror, error) {
	return e.mirrorWith(prefix, stream, nil, changed)
}

func (e *Entry) mirrorWith(prefix string, stream uint64, answered func(mirror.Source), changed func(kvs.Snapshot)) (*mirror.Mirror, error) {
	m, err := mirror.New(mirror.Config{
		Service: e.options.Source.Store, Prefix: prefix, Answered: answered, Changed: changed, Rand: e.options.rand(stream), Log: e.log,
		RereadInterval: mirrorReread, Backoff: mirrorBackoff,
		DownChanged: func(down bool, cause error) { e.storeStatus.set(prefix, down, cause) },
		OutageEnded: func(lastDown time.Duration) {
			e.replicas.storeRecovered(prefix, lastDown)
			e.readers.distrust(e.options.Now())
		},
		Restored: func(before, after kvs.Revision) { e.storeRestored(prefix, before, after) },
	})
	return m, errors.Trace(err)
}

// stop waits until ctx is canceled and then for the end of the planned stop. It returns
// early if runCtx is canceled.
func (e *Entry) stop(ctx, runCtx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-runCtx.Done():
		return nil
	}
	e.drain.Start(e.options.Now())
	e.logStop("planned stop started")
	e.duties.standDown()
	closing := false
	for {
		switch e.drain.Advance(e.options.Now()) {
		case drain.PhaseStopped:
			e.logStop("stopped")
			e.endRequests(runCtx, callers)
			e.sendLastCounts(runCtx)
			close(e.stopped)
			return nil
		case drain.PhaseFinish:
			if !closing {
				closing = true
				go e.closeIdle(runCtx, callers)
			}
		}
		select {
		case <-runCtx.Done():
			return nil
		case <-time.After(stopPollInterval):
		}
	}
}

// endRequests ends the requests in progress and waits until the responses are written.
func (e *Entry) endRequests(ctx context.Context, callers *http.Server) {
	e.cancelRequests()
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout/2)
	defer cancel()
	e.closeIdle(ctx, callers)
}

// sendLastCounts sends the holder of the duties the last counts of this process.
func (e *Entry) sendLastCounts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, shutdownTimeout/2)
	defer cancel()
	e.duties.sendLast(ctx)
}

// closeIdle closes the listener and the idle connections.
func (e *Entry) closeIdle(ctx context.Context, callers *http.Server) {
	if err := callers.Shutdown(ctx); err != nil {
		e.log.WithField("event", "stop").WithError(err).Info("connections were still in use when the process stopped")
	}
}

func (e *Entry) logStop(message string) {
	status := e.drain.Status()
	e.log.WithFields(logrus.Fields{"event": "stop", "phase": status.Phase, "ending": status.Ending, "inFlight": status.InFlight}).Info(message)
}
