package entry

import (
	"math/rand/v2"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/route"
)

const (
	// budgetFraction is the fraction of the allowed retries that is used, because the
	// VMs' views differ and the windows slide.
	budgetFraction = 0.6
	// assumedVMs is the number of VMs that share the budget if fewer are known.
	assumedVMs = 6
	// initialRetryRate allows almost no retries until setBudget has been called.
	initialRetryRate = 0.01
	// dialTimeout limits the time to connect to a backend server. TCP sends a lost SYN
	// again only after a second; by then another replica has long answered.
	dialTimeout = 300 * time.Millisecond
	// unreachableTime is how long a replica gets no requests after a failed attempt to
	// connect to it; a replica takes about that long to come back.
	unreachableTime = 2 * time.Second
	// initialLongShare is the fraction of the replicas for long prompts until their
	// work is known. Summaries are most of the work on both sites, and after a restart
	// a question must not share a replica with one.
	initialLongShare = 0.6
	// reportMaxAge is the age from which a load report is ignored, a few times the
	// duration of a short call. A replica that was full that long ago mostly has free
	// slots again.
	reportMaxAge = 3 * time.Second
)

// setBudget sets this VM's share of the retries that all VMs may send, and tells the
// router the number of VMs.
func (e *Entry) setBudget() {
	c := e.config.Load()
	vms := float64(max(assumedVMs, e.members.count()))
	rate := budgetFraction * c.RetrySlack / c.RetryWindow.Seconds() / vms
	e.retry.SetBudget(rate, max(1, rate*c.RetryWindow.Seconds()/2))
	e.router.SetVMs(int(vms))
	if before := e.budgetVMs.Swap(int64(vms)); before != int64(vms) {
		e.log.WithFields(logrus.Fields{"event": "budget", "vms": vms, "before": before, "known": e.members.count(), "perSecond": rate}).Info("this VM's share of the retry budget changed")
	}
}

// RouteConfig returns the part of the router's configuration that is the same on all
// entry VMs. The simulation of whole fleets uses it too.
func RouteConfig() route.Config {
	return route.Config{
		UnreachableToEject: 1, UnreachableTime: unreachableTime, InitialLongShare: initialLongShare, ReportMaxAge: reportMaxAge,
	}
}

func routerConfig(c Config, rng *rand.Rand) route.Config {
	r := RouteConfig()
	r.Self, r.Zone, r.Rand = c.VM, c.Zone, rng
	return r
}
