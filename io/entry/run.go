package entry

import (
	"context"
	"net/http"
	"net/netip"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/drain"
	"gentianwell/io/dial"
	"gentianwell/io/kvs"
	"gentianwell/io/mirror"
	"gentianwell/io/peer"
	"gentianwell/io/proxy"
)

const (
	// endTimeout bounds the end of all parts after the last answer.
	endTimeout = 200 * time.Millisecond
	// stopPoll is how often a process that stops looks whether it is done.
	stopPoll = 50 * time.Millisecond
	// mirrorBackoff is the mean wait between attempts to read the store while it
	// is down: each call is priced, and a change has to be in force in seconds.
	mirrorBackoff = 700 * time.Millisecond
	// mirrorReread is how often everything is read anew.
	mirrorReread = 2 * time.Minute
	// refreshEvery is how often entries whose time is over are looked for.
	refreshEvery = 100 * time.Millisecond
	// budgetEvery is how often the share of the retry budget is set anew.
	budgetEvery = time.Second
	// greetEvery is how often seeds that are not known are called.
	greetEvery = time.Second
	// readyHeaderTimeout bounds the reading of a balancer's question.
	readyHeaderTimeout = 2 * time.Second
)

// Run serves until ctx ends, then stops as planned: it says that it is not ready,
// goes on until the balancer has noticed, and ends when every request in progress
// has its answer, at the latest at Config.StopLimit.
//
// Errors: an address that cannot be listened on, a part that failed.
func (e *Entry) Run(ctx context.Context) error {
	partCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	var all parts
	part := func(name string, fn func(context.Context) error) { all.addWith(partCtx, cancel, name, fn) }
	callers, err := e.serveCallers(partCtx, &all)
	if err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	part("stop", func(partCtx context.Context) error { return e.stop(ctx, partCtx, callers) })
	if err := e.serveQuestions(partCtx, &all); err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	if err := e.servePeers(part); err != nil {
		return errors.Annotate(err, "Entry.Run")
	}
	for _, follow := range []struct {
		name string
		make func() (*mirror.Mirror, error)
	}{{"configuration", e.configMirror}, {"replicas", e.replicaMirror}} {
		m, err := follow.make()
		if err != nil {
			return errors.Annotate(err, "Entry.Run")
		}
		part(follow.name, m.Run)
		e.probe.mirrors = append(e.probe.mirrors, m)
	}
	e.subscribe()
	part("timers", e.timers.Run)
	c := e.o.Config
	e.log.WithFields(logrus.Fields{
		"event": "start", "vm": c.VM, "zone": c.Zone, "callers": c.CallerAddress, "ready": c.ReadinessAddress, "peers": c.PeerAddress, "store": c.StoreAddress,
		"seeds": len(c.Seeds), "stopLimit": c.StopLimit.String(),
	}).Info("entry VM started")
	ended := make(chan error, 1)
	go func() { ended <- all.group.Run() }()
	select {
	case err := <-ended:
		return errors.Annotate(err, "Entry.Run")
	case <-e.stopped:
	}
	// Every request has its answer: a part that does not end must not hold the
	// process up until it is killed.
	select {
	case err := <-ended:
		return errors.Annotate(err, "Entry.Run")
	case <-time.After(endTimeout):
		e.log.WithFields(logrus.Fields{"event": "stop", "parts": all.left()}).Warn("parts have not ended, the process ends without them")
		return nil
	}
}

// subscribe starts what is done at intervals.
func (e *Entry) subscribe() {
	e.timers.Every("replicas", refreshEvery, e.replicas.refresh)
	e.timers.Every("budget", budgetEvery, func(time.Time) { e.setBudget() })
	e.setBudget()
	e.timers.Every("probe", probeEvery, e.probe.round)
	if !e.o.Config.PeerAddress.IsValid() {
		return
	}
	e.members.announce(e.o.Now())
	e.timers.Every("alive", aliveEvery, e.members.announce)
	e.timers.Every("greet", greetEvery, e.greet)
	e.timers.Every("gossip", gossipEvery, e.gossip.Round)
	e.greet(e.o.Now())
}

// serveCallers answers callers. Their requests go on while the process stops.
func (e *Entry) serveCallers(ctx context.Context, all *parts) (*http.Server, error) {
	listener, err := dial.Listen(ctx, dial.Config{}, e.o.Config.CallerAddress)
	if err != nil {
		return nil, errors.Trace(err)
	}
	srv := e.proxy.HTTP()
	all.add("callers", func() error { return served(ctx, srv.Serve(proxy.WrapListener(listener))) }, func(error) {
		if err := srv.Close(); err != nil {
			e.log.WithField("event", "stop").WithError(err).Warn("closing the callers' connections")
		}
	})
	return srv, nil
}

// served makes a server that was closed on purpose wait for the end of the process:
// its connections may still be in use.
func served(ctx context.Context, err error) error {
	if !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	<-ctx.Done()
	return nil
}

// serveQuestions answers the balancer, and serves the metrics.
func (e *Entry) serveQuestions(ctx context.Context, all *parts) error {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", func(w http.ResponseWriter, _ *http.Request) {
		if !e.Ready() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
	})
	mux.Handle("GET /metrics", e.metrics.handler())
	addresses := []netip.AddrPort{e.o.Config.ReadinessAddress}
	if e.o.Config.MetricsAddress.IsValid() {
		addresses = append(addresses, e.o.Config.MetricsAddress)
	}
	for _, address := range addresses {
		listener, err := dial.Listen(ctx, dial.Config{}, address)
		if err != nil {
			return errors.Trace(err)
		}
		srv := &http.Server{Handler: mux, ReadHeaderTimeout: readyHeaderTimeout}
		all.add("questions at "+address.String(), func() error { return served(ctx, srv.Serve(listener)) }, func(error) {
			if err := srv.Close(); err != nil {
				e.log.WithField("event", "stop").WithError(err).Warn("closing the balancer's connections")
			}
		})
	}
	return nil
}

// servePeers answers other VMs.
func (e *Entry) servePeers(part func(string, func(context.Context) error)) error {
	if !e.o.Config.PeerAddress.IsValid() {
		return nil
	}
	listener, err := dial.Listen(context.Background(), dial.Config{}, e.o.Config.PeerAddress)
	if err != nil {
		return errors.Trace(err)
	}
	srv, err := peer.NewServer(peer.ServerConfig{Handler: e.gossip})
	if err != nil {
		return errors.Trace(err)
	}
	part("peers", func(ctx context.Context) error { return srv.Serve(ctx, listener) })
	return nil
}

func (e *Entry) configMirror() (*mirror.Mirror, error) {
	return e.mirror(e.o.Source.ConfigKey, randConfigMirror, func(snap kvs.Snapshot) {
		for _, one := range snap.Entries {
			if one.Key == e.o.Source.ConfigKey {
				e.tables.adopt(one.Value, "store")
			}
		}
	})
}

func (e *Entry) replicaMirror() (*mirror.Mirror, error) {
	return e.mirror(e.o.Source.ReplicaPrefix, randReplicaMirror, e.replicas.set)
}

func (e *Entry) mirror(prefix string, stream uint64, changed func(kvs.Snapshot)) (*mirror.Mirror, error) {
	m, err := mirror.New(mirror.Config{
		Service: e.o.Source.Store, Prefix: prefix, Changed: changed, Rand: e.o.rand(stream), Log: e.log,
		Reread: mirrorReread, Backoff: mirrorBackoff,
		Down: func(down bool, cause error) { e.upstream.set(prefix, down, cause) },
	})
	return m, errors.Trace(err)
}

// stop waits for the signal and then for the end of the planned stop.
func (e *Entry) stop(ctx, partCtx context.Context, callers *http.Server) error {
	select {
	case <-ctx.Done():
	case <-partCtx.Done():
		return nil
	}
	e.drain.Start(e.o.Now())
	e.logStop("stop began")
	closing := false
	for {
		switch e.drain.Advance(e.o.Now()) {
		case drain.PhaseStopped:
			e.logStop("stopped")
			close(e.stopped)
			return nil
		case drain.PhaseFinish:
			if !closing {
				closing = true
				go e.closeIdle(partCtx, callers)
			}
		}
		select {
		case <-partCtx.Done():
			return nil
		case <-time.After(stopPoll):
		}
	}
}

// closeIdle closes the listener and the connections without a request.
func (e *Entry) closeIdle(ctx context.Context, callers *http.Server) {
	if err := callers.Shutdown(ctx); err != nil {
		e.log.WithField("event", "stop").WithError(err).Info("connections were still in use")
	}
}

func (e *Entry) logStop(message string) {
	status := e.drain.Status()
	e.log.WithFields(logrus.Fields{"event": "stop", "phase": status.Phase, "ending": status.Ending, "inFlight": status.InFlight}).Info(message)
}
