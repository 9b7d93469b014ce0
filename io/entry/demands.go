package entry

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/peerpb"
)

// demands converts the router's measurements of each class of calls to and from messages
// between VMs.
type demands struct{ router *route.Router }

// message returns this VM's measurements.
func (d demands) message(now time.Time) []*peerpb.ClassDemand {
	measured := d.router.Demands(now)
	out := make([]*peerpb.ClassDemand, 0, len(measured))
	for _, demand := range measured {
		out = append(out, &peerpb.ClassDemand{
			Model: string(demand.Model), CallClass: string(demand.Class),
			Seen: float32(demand.Seen), PromptTokens: float32(demand.PromptTokens), WorkTokens: float32(demand.WorkTokens),
		})
	}
	return out
}

// receive averages another VM's measurements into this VM's.
func (d demands) receive(now time.Time, measured []*peerpb.ClassDemand) {
	others := make([]route.Demand, 0, len(measured))
	for _, demand := range measured {
		others = append(others, route.Demand{
			Model: call.Model(demand.Model), Class: call.Class(demand.CallClass),
			Seen: float64(demand.Seen), PromptTokens: float64(demand.PromptTokens), WorkTokens: float64(demand.WorkTokens),
		})
	}
	d.router.AverageDemands(now, others)
}
