package entry

import (
	"math/rand/v2"
	"time"

	"gentianwell/core/route"
)

const (
	// budgetPart is the part of the allowed repeats that is used: other VMs' views
	// differ, and windows slide.
	budgetPart = 0.6
	// assumedVMs is how many VMs share the budget where fewer are known.
	assumedVMs = 6
	// least is a rate and a burst near nothing, until the budget is set.
	least = 0.01
	// dialTimeout bounds the making of a connection to a backend server. A lost
	// opening packet is sent again after a second, when another replica has long
	// answered.
	dialTimeout = 300 * time.Millisecond
	// unreachableTime is how long a replica is left out after a connection to it
	// could not be made; it is about as long as a replica takes to come back.
	unreachableTime = 2 * time.Second
	// firstLongShare is the long prompts' part of the replicas until their work is
	// known: summaries bring most of the work on both sites, and after a restart a
	// question must not meet them.
	firstLongShare = 0.6
	// reportMaxAge is when a load report counts for nothing: a few times as long as
	// a short call runs. What was full that long ago mostly has room.
	reportMaxAge = 3 * time.Second
)

// setBudget gives this VM its share of the repeats that all VMs may send.
func (e *Entry) setBudget() {
	c := e.config.Load()
	vms := float64(max(assumedVMs, e.members.count()))
	rate := budgetPart * c.RetrySlack / c.RetryWindow.Seconds() / vms
	e.retry.SetBudget(rate, max(1, rate*c.RetryWindow.Seconds()/2))
	e.router.SetVMs(int(vms))
}

// RouteConfig returns how entry VMs choose replicas, for the model of whole fleets too.
func RouteConfig() route.Config {
	return route.Config{
		UnreachableToEject: 1, UnreachableTime: unreachableTime, InitialLongShare: firstLongShare, ReportMaxAge: reportMaxAge,
	}
}

func routerConfig(c Config, rng *rand.Rand) route.Config {
	r := RouteConfig()
	r.Self, r.Zone, r.Rand = c.VM, c.Zone, rng
	return r
}
