package entry

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/fair"
	"gentianwell/io/peerpb"
)

// teamDemands converts the measurements of each team's work to and from messages between VMs.
type teamDemands struct{ fair *fair.Fair }

// message returns this VM's measurements; none without teams.
func (d teamDemands) message(now time.Time) []*peerpb.TeamDemand {
	if d.fair == nil {
		return nil
	}
	measured := d.fair.Demands(now)
	if len(measured) == 0 {
		return nil
	}
	out := make([]*peerpb.TeamDemand, 0, len(measured))
	for _, demand := range measured {
		out = append(out, &peerpb.TeamDemand{
			Model: string(demand.Model), Team: string(demand.Team), Asked: float32(demand.Asked), Granted: float32(demand.Granted),
		})
	}
	return out
}

// receive averages another VM's measurements into this VM's.
func (d teamDemands) receive(now time.Time, measured []*peerpb.TeamDemand) {
	if len(measured) == 0 {
		return
	}
	if d.fair == nil {
		return
	}
	others := make([]fair.Demand, 0, len(measured))
	for _, demand := range measured {
		others = append(others, fair.Demand{
			Model: call.Model(demand.Model), Team: call.Team(demand.Team), Asked: float64(demand.Asked), Granted: float64(demand.Granted),
		})
	}
	d.fair.Average(now, others)
}
