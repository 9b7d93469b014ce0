package entry

import (
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"

	"gentianwell/core/fair"
	"gentianwell/core/poison"
	"gentianwell/core/reader"
	"gentianwell/io/proxy"
)

// latencyBuckets are in seconds, from a fast plain service to the longest generation.
var latencyBuckets = []float64{.005, .01, .025, .05, .1, .2, .37, .5, 1, 2, 5, 10, 30}

// maxRouteLabels limits the routes with a label value of their own, because the
// configuration may have hundreds of routes.
const maxRouteLabels = 32

// otherLabel is the label value of the routes beyond maxRouteLabels.
const otherLabel = "other"

// metrics holds the counters and histograms of one process.
type metrics struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	sends    *prometheus.CounterVec
	onTime   *prometheus.CounterVec
	// cut counts the answers that had begun and were not completed.
	cut      *prometheus.CounterVec
	lostRuns *prometheus.CounterVec
	// broken counts the attempts without a valid, complete response.
	broken  *prometheus.CounterVec
	crashes *prometheus.CounterVec
	// shares counts the decisions about shares of teams.
	shares *prometheus.CounterVec
	// takenUp counts the streams that callers took up again, streamRecords the records of streams.
	takenUp       *prometheus.CounterVec
	streamRecords *prometheus.CounterVec
	// storeRestores counts the times that the store came back from an older copy.
	storeRestores prometheus.Counter
	// storeOutages counts the outages of the store whose end was noticed, by the prefix that was read.
	storeOutages *prometheus.CounterVec

	// probes counts the reads of the store's revision, watchRestarts the watches that delivered
	// nothing and were restarted.
	probes        *prometheus.CounterVec
	watchRestarts *prometheus.CounterVec
	// holds counts the times that requests waited for a read of the store.
	holds *prometheus.CounterVec
	// ownWatch counts the changes of this VM's own watch of the list of replicas.
	ownWatch *prometheus.CounterVec
	// duty counts what happens to the lease of the duties, usageReports the reports of windows.
	duty         *prometheus.CounterVec
	usageReports *prometheus.CounterVec

	first *prometheus.HistogramVec
	total *prometheus.HistogramVec

	mu     sync.Mutex
	labels map[string]bool
}

func newMetrics(registry *prometheus.Registry, e *Entry) *metrics {
	counter := func(name, help string, labels ...string) *prometheus.CounterVec {
		return prometheus.NewCounterVec(prometheus.CounterOpts{Name: "gentianwell_" + name, Help: help}, labels)
	}
	histogram := func(name, help string) *prometheus.HistogramVec {
		return prometheus.NewHistogramVec(prometheus.HistogramOpts{Name: "gentianwell_" + name, Help: help, Buckets: latencyBuckets}, []string{"route"})
	}
	m := &metrics{
		registry: registry, labels: map[string]bool{},
		requests:      counter("proxied_total", "Requests by how they ended; status 0 is a broken connection.", "route", "status", "reason"),
		sends:         counter("sends_total", "Requests sent to backend servers, repeats included.", "route"),
		onTime:        counter("on_time_total", "Requests answered within or after the target of their route.", "route", "met"),
		cut:           counter("cut_total", "Answers that had begun and were not completed, by how the last attempt at a backend server ended.", "route", "reason", "ending"),
		lostRuns:      counter("lost_runs_total", "Runs whose connection was lost, by whether the backend server then accepted no connection.", "crashed"),
		broken:        counter("broken_responses_total", "Attempts whose response was not valid or not complete, by the reason.", "reason"),
		crashes:       counter("crashes_total", "Crashes of backend servers under a request, by how the request was judged with it.", "reason"),
		shares:        counter("team_share_decisions_total", "Requests of teams by whether the team's share of a short service admitted them.", "admitted", "reason"),
		takenUp:       counter("taken_up_total", "Streams that callers took up again, by how the request ended.", "reason"),
		streamRecords: counter("stream_records_total", "Records of the version at which a stream began, by whether the store took them.", "written"),
		storeOutages:  counter("store_outages_total", "Outages of the store whose end was noticed; removed replicas may then stay in use for a time.", "prefix"),
		storeRestores: prometheus.NewCounter(prometheus.CounterOpts{
			Name: "gentianwell_store_restores_total", Help: "Times that the platform's store came back from an older copy.",
		}),
		probes:        counter("probes_total", "Reads of the store's revision, with which the watches are compared, by the reason why this VM made them.", "reason", "result"),
		watchRestarts: counter("watch_restarts_total", "Watches that delivered nothing and were restarted, by how that was noticed.", "prefix", "noticed"),
		holds:         counter("holds_total", "Times that requests waited for a read of the store, as this VM's copies might have been too old.", "reason"),
		duty:          counter("duty_total", "Changes of the lease of the duties on this VM.", "change"),
		usageReports:  counter("usage_reports_total", "Reports of usage to the platform by what happened to them.", "change"),
		first:         histogram("first_seconds", "Time to the answer or to the first event of a stream."),
		total:         histogram("total_seconds", "Time to the end of the answer."),
	}
	registry.MustRegister(
		collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}), m.probes, m.watchRestarts, m.holds, m.requests, m.sends, m.onTime, m.cut, m.lostRuns, m.broken, m.crashes, m.shares, m.takenUp, m.streamRecords, m.storeRestores, m.storeOutages, m.first, m.total,
	)
	gauge := func(name, help string, value func() float64) {
		registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help}, value))
	}
	gauge("in_flight", "Requests in progress.", func() float64 { return float64(e.drain.Status().InFlight) })
	gauge("configuration_version", "Version of the configuration in force.", func() float64 { return float64(e.tables.Current().Version()) })
	gauge("vms", "Entry VMs known, this one included.", func() float64 { return float64(e.members.count()) })
	gauge("budget_vms", "Entry VMs that the retry budget is divided by.", func() float64 { return float64(e.budgetVMs.Load()) })
	gauge("ejected_replicas", "Replicas that get no new work for a time.", func() float64 { return float64(len(e.router.Ejected(e.options.Now()))) })
	gauge("leaving_replicas", "Listed replicas that have said that they leave.", func() float64 {
		leaving, _ := e.router.Unavailable(e.options.Now())
		return float64(leaving)
	})
	gauge("timed_models", "Models whose calls are routed by expected times.", func() float64 {
		models, _, _ := e.router.Speeds(e.options.Now())
		return float64(models)
	})
	gauge("work_figure_age_seconds", "Median age of the replicas' work figures; 0 without any.", func() float64 {
		_, age, _ := e.router.Speeds(e.options.Now())
		return age.Seconds()
	})
	gauge("slow_factor", "Greatest estimate of how long work takes on a replica, as a factor of the usual; 0 without any.", func() float64 {
		_, _, slowest := e.router.Speeds(e.options.Now())
		return slowest
	})
	gauge("paused_replicas", "Replicas that have asked for a pause.", func() float64 {
		_, paused := e.router.Unavailable(e.options.Now())
		return float64(paused)
	})
	gauge("backend_limits", "Backend servers that name a limit for all entry VMs together.", func() float64 {
		replicas, _ := e.limits.quota.Totals()
		return float64(replicas)
	})
	gauge("backend_limit_share", "Requests a second that this VM may send to backend servers that name a limit.", func() float64 {
		_, share := e.limits.quota.Totals()
		return share
	})
	gauge("stream_records_waiting", "Records of the version at which a stream began that the store has not taken yet.", func() float64 {
		return float64(e.origins.writer.queue.Len())
	})
	gauge("crash_records_waiting", "Records of crashes that the store has not taken yet.", func() float64 {
		return float64(e.crashes.writer.queue.Len())
	})
	gauge("store_up", "1 while the platform's store can be read.", func() float64 {
		if e.storeStatus.up() {
			return 1
		}
		return 0
	})
	for name, prefix := range map[string]string{
		"configuration": e.options.Source.ConfigKey, "replicas": e.options.Source.ReplicaPrefix, "crashes": suspectPrefix,
	} {
		gauge(name+"_age_seconds", "Time since the copy of the "+name+" was last known to be complete.", func() float64 { return e.probe.age(prefix).Seconds() })
	}
	gauge("read_age_seconds", "Time since the last read of the store's revision that this VM made or heard of; 0 before the first.", func() float64 {
		return e.reads.age(e.options.Now()).Seconds()
	})
	if e.options.Config.PeerAddress.IsValid() {
		m.addReaders(e)
	}
	return m
}

// addReaders adds the metrics of the watch of the list of replicas.
func (m *metrics) addReaders(e *Entry) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help}, value))
	}
	boolean := func(b bool) float64 {
		if b {
			return 1
		}
		return 0
	}
	gauge("reader", "1 while this VM watches the list of replicas for others.", func() float64 { return boolean(e.readers.status().isReader) })
	gauge("own_watch", "1 while this VM watches the list of replicas by itself.", func() float64 { return boolean(e.readers.status().decision.Watch) })
	gauge("list_age_seconds", "How long ago the list of replicas was complete by what readers have said; 0 if this VM has heard none.", func() float64 {
		return e.readers.status().decision.Age.Seconds()
	})
	m.ownWatch = prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "gentianwell_own_watch_changes_total", Help: "Times that this VM began or ceased to watch the list of replicas by itself, by the reason.",
	}, []string{"watch", "reason"})
	m.registry.MustRegister(m.ownWatch)
	e.readers.observe = func(watch bool, reason reader.Reason) {
		m.ownWatch.WithLabelValues(strconv.FormatBool(watch), string(reason)).Inc()
	}
}

// addDuties adds the metrics of a process with duties.
func (m *metrics) addDuties(e *Entry) {
	gauge := func(name, help string, value func() float64) {
		m.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Name: "gentianwell_" + name, Help: help}, value))
	}
	m.registry.MustRegister(m.duty)
	gauge("duty_held", "1 while this VM holds the lease of the duties.", func() float64 {
		if _, held := e.duties.holder.Term(); held {
			return 1
		}
		return 0
	})
	gauge("duty_token", "Greatest fencing token of the duties that this VM has heard of.", func() float64 {
		_, token := e.duties.holder.Holder()
		return float64(token)
	})
	if e.duties.counter == nil {
		return
	}
	m.registry.MustRegister(m.usageReports)
	gauge("usage_done_window", "Last window of usage whose counts are stored.", func() float64 { return float64(e.duties.reporter.DoneUntil()) })
	gauge("usage_dropped", "Requests that were not counted, because their window was done or too old.", func() float64 { return float64(e.duties.counter.Dropped()) })
	gauge("clock_correction_seconds", "What is added to this VM's clock to count windows of usage.", func() float64 {
		return time.Duration(e.duties.correction.Load()).Seconds()
	})
}

// Registry returns the registry of the process's metrics.
func (e *Entry) Registry() *prometheus.Registry { return e.metrics.registry }

func (m *metrics) handler() http.Handler {
	return promhttp.HandlerFor(m.registry, promhttp.HandlerOpts{})
}

// observe records a finished request.
func (m *metrics) observe(stats proxy.RequestStats) {
	route := m.routeLabel(stats.Route)
	m.requests.WithLabelValues(route, strconv.Itoa(stats.Status), string(stats.Reason)).Inc()
	if stats.Sends > 0 {
		m.sends.WithLabelValues(route).Add(float64(stats.Sends))
	}
	if stats.Status == 0 {
		m.cut.WithLabelValues(route, string(stats.Reason), string(stats.Ending)).Inc()
	}
	if stats.TakenUp {
		m.takenUp.WithLabelValues(string(stats.Reason)).Inc()
	}
	if stats.FirstLatency > 0 {
		m.first.WithLabelValues(route).Observe(stats.FirstLatency.Seconds())
		m.total.WithLabelValues(route).Observe(stats.Total.Seconds())
		m.onTime.WithLabelValues(route, strconv.FormatBool(stats.FirstLatency <= stats.Target)).Inc()
	}
}

// observeShare records a decision about the share of a team.
func (m *metrics) observeShare(v fair.Verdict) {
	m.shares.WithLabelValues(strconv.FormatBool(v.Admitted), string(v.Reason)).Inc()
}

// observeStreamRecords records that the store has taken records of streams, or has not.
func (m *metrics) observeStreamRecords(written bool, records int) {
	m.streamRecords.WithLabelValues(strconv.FormatBool(written)).Add(float64(records))
}

// observeLostRun records a run whose connection was lost.
func (m *metrics) observeLostRun(crashed bool) {
	m.lostRuns.WithLabelValues(strconv.FormatBool(crashed)).Inc()
}

// observeBroken records an attempt whose response was not valid or not complete.
func (m *metrics) observeBroken(reason string) { m.broken.WithLabelValues(reason).Inc() }

// observeCrash records a crash under a request and the verdict on the request.
func (m *metrics) observeCrash(v poison.Verdict) {
	m.crashes.WithLabelValues(string(v.Reason)).Inc()
}

// routeLabel returns the label value for a route: "none" without a route, and otherLabel
// if maxRouteLabels other routes already have a value of their own.
func (m *metrics) routeLabel(route string) string {
	if route == "" {
		return "none"
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.labels[route] {
		if len(m.labels) >= maxRouteLabels {
			return otherLabel
		}
		m.labels[route] = true
	}
	return route
}
