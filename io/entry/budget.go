package entry

import (
	"math/rand/v2"
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/quota"
	"gentianwell/core/route"
)

const (
	// budgetFraction is the fraction of the allowed retries that is used, because the
	// VMs' views differ and the windows slide.
	budgetFraction = 0.6
	// assumedVMs is the number of VMs that share the budget if fewer, but others than this
	// one are known.
	assumedVMs = 6
	// initialRetryRate allows almost no retries, beyond the share of each request, while
	// the number of VMs is not known.
	initialRetryRate = 0.01
	// fleetSettleTime is how long after its start a VM does not rely on the number of VMs
	// that it knows; gossip has reached all by then.
	fleetSettleTime = 4 * time.Second
	// fleetHoldTime is how long VMs that are not known any more still count: they may be
	// behind a partition and use their share.
	fleetHoldTime = time.Hour
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

// setBudget sets this VM's share of the retries that all VMs may send and of the limits that
// replicas name, and tells the router the number of VMs.
func (e *Entry) setBudget() {
	c := e.config.Load()
	known := e.members.count()
	e.router.SetVMs(max(assumedVMs, known))
	vms := e.fleetSize.update(e.options.Now(), known, e.hasOtherSeeds())
	rate := initialRetryRate
	if vms > 0 {
		rate = budgetFraction * c.RetrySlack / c.RetryWindow.Seconds() / float64(vms)
	}
	e.limits.setVMs(e.options.Now(), e.members.others(), vms > 0)
	e.retry.SetBudget(rate, max(1, rate*c.RetryWindow.Seconds()/2))
	if before := e.budgetVMs.Swap(int64(vms)); before != int64(vms) {
		e.log.WithFields(logrus.Fields{"event": "budget", "vms": vms, "before": before, "known": known, "perSecond": rate}).Info("this VM's share of the retry budget changed")
	}
}

// hasOtherSeeds reports whether the settings name other VMs.
func (e *Entry) hasOtherSeeds() bool {
	c := e.config.Load()
	return slices.ContainsFunc(c.Seeds, func(seed netip.AddrPort) bool { return seed != c.PeerAddress })
}

// fleetSize estimates the number of VMs that share a budget from those that one VM knows.
// It errs towards more: too large a share of each VM exceeds what all may use together.
type fleetSize struct {
	mu      sync.Mutex
	started time.Time
	// peak is the greatest number of known VMs within fleetHoldTime, last known at peakAt.
	peak   int
	peakAt time.Time
}

// update records the number of known VMs, including this one, and returns the estimate;
// zero if there is none yet. Without other seeds, this VM has nobody to learn of.
func (f *fleetSize) update(now time.Time, known int, otherSeeds bool) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.started.IsZero() {
		f.started = now
	}
	if known >= f.peak || now.Sub(f.peakAt) > fleetHoldTime {
		f.peak, f.peakAt = known, now
	}
	if otherSeeds && (f.peak == 1 || now.Sub(f.started) < fleetSettleTime) {
		return 0
	}
	return max(assumedVMs, f.peak)
}

// known returns the number of VMs that there may be, this one included, as of the last update.
func (f *fleetSize) known() int {
	f.mu.Lock()
	defer f.mu.Unlock()
	return max(1, f.peak)
}

// RouteConfig returns the part of the router's configuration that is the same on all
// entry VMs. The simulation of whole fleets uses it too.
func RouteConfig() route.Config {
	return route.Config{
		UnreachableToEject: 1, UnreachableTime: unreachableTime, InitialLongShare: initialLongShare, ReportMaxAge: reportMaxAge,
	}
}

func routerConfig(c Config, rng *rand.Rand, limits *quota.Limits) route.Config {
	r := RouteConfig()
	r.Self, r.Zone, r.Rand, r.Limits = c.VM, c.Zone, rng, limits
	return r
}
