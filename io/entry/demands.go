package entry

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
	"gentianwell/io/peerpb"
)

// demands passes what VMs have learned of the classes of calls between them.
type demands struct{ router *route.Router }

// message returns what this VM knows.
func (d demands) message(now time.Time) []*peerpb.ClassDemand {
	known := d.router.Demands(now)
	out := make([]*peerpb.ClassDemand, 0, len(known))
	for _, one := range known {
		out = append(out, &peerpb.ClassDemand{
			Model: string(one.Model), CallClass: string(one.Class),
			Seen: float32(one.Seen), PromptTokens: float32(one.PromptTokens), WorkTokens: float32(one.WorkTokens),
		})
	}
	return out
}

// heard takes what another VM knows.
func (d demands) heard(now time.Time, known []*peerpb.ClassDemand) {
	others := make([]route.Demand, 0, len(known))
	for _, one := range known {
		others = append(others, route.Demand{
			Model: call.Model(one.Model), Class: call.Class(one.CallClass),
			Seen: float64(one.Seen), PromptTokens: float64(one.PromptTokens), WorkTokens: float64(one.WorkTokens),
		})
	}
	d.router.AverageDemands(now, others)
}
