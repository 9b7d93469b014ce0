package scale

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/table"
)

// Input is what is known of a service at a time.
type Input struct {
	Now      time.Time
	Service  call.Model
	Settings table.Autoscale
	// Zones holds every zone in which the service may have replicas, in a stable order.
	Zones []Zone
	// ListAge is the age of the list of replicas.
	ListAge time.Duration
	// Classes is the demand of all VMs together. It has been counted for Measured; zero if there
	// has been none yet.
	Classes  []Class
	Measured time.Duration
	// Speed is how fast a replica reads prompts.
	Speed Speed
	// Answers counts requests that ended within the last seconds at this VM, Late those of them
	// that missed their target or were refused for lack of capacity.
	Answers, Late int
}

// Zone is what is known of the replicas in an availability zone.
type Zone struct {
	Name           call.Zone
	OnDemand, Spot Count
	// Busy is the number of requests that run or wait at the replicas that report, Slots the number of
	// requests that its ready replicas run concurrently.
	Busy, Slots float64
	// Reporting is the number of ready replicas whose load report is younger than Config.MaxAge,
	// ReportAge the mean age of these reports.
	Reporting int
	ReportAge time.Duration
}

// Count counts the replicas of one kind in a zone. Draining ones finish what they run; Reclaimed
// counts those of them that the platform takes back.
type Count struct{ Ready, Draining, Reclaimed int }

// Class is the demand of one class of requests.
type Class struct {
	Name call.Class
	// PerSecond is the rate of arrivals at all VMs.
	PerSecond float64
	// PromptTokens is the mean length of the prompts, WorkTokens of their part that is not shared.
	PromptTokens, WorkTokens float64
	// Target is the target for the time to the first token; zero for none.
	Target time.Duration
}

// Speed is how fast a replica reads prompts, as measured by the time to the first token.
type Speed struct {
	// Base is the time to the first token of an empty prompt, PerToken the time for each token.
	// Both are zero if unknown.
	Base, PerToken time.Duration
}

func (z *Zone) ready() int { return z.OnDemand.Ready + z.Spot.Ready }

// slots returns the slots of a replica, at least 1.
func (in *Input) slots() float64 {
	var slots, ready float64
	for i := range in.Zones {
		slots, ready = slots+in.Zones[i].Slots, ready+float64(in.Zones[i].ready())
	}
	if ready == 0 {
		return 1
	}
	return max(1, slots/ready)
}
