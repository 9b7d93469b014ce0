package scaler

import (
	"fmt"
	"math"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/scale"
)

// inputFields returns the inputs of a decision and their ages.
func inputFields(in scale.Input, d scale.Decision) logrus.Fields {
	var rate float64
	for _, class := range in.Classes {
		rate += class.PerSecond
	}
	zones := map[call.Zone]string{}
	for _, z := range in.Zones {
		zones[z.Name] = fmt.Sprintf("%d+%d of %d, draining %d+%d, busy %.0f of %.0f, reports %d of %s",
			z.OnDemand.Ready, z.Spot.Ready, d.Need.Zones[z.Name], z.OnDemand.Draining, z.Spot.Draining, z.Busy, z.Slots, z.Reporting, z.ReportAge.Round(time.Millisecond))
	}
	return logrus.Fields{
		"service": in.Service, "zones": zones, "listAge": in.ListAge.String(), "measured": in.Measured.String(), "perSecond": tenths(rate),
		"work": tenths(d.Need.Work), "use": tenths(100*d.Need.Use) / 100, "rest": tenths(d.Need.Rest), "pressure": d.Need.Pressure,
		"readBase": in.Speed.Base.String(), "readToken": in.Speed.PerToken.String(), "answers": in.Answers, "late": in.Late,
	}
}

func tenths(x float64) float64 { return math.Round(10*x) / 10 }

// logReason logs why nothing is ordered, when the reason changes.
func (s *Scaler) logReason(p *planner, in scale.Input, d scale.Decision) {
	if d.Reason == p.logged {
		return
	}
	p.logged = d.Reason
	if d.Reason == "" {
		return
	}
	s.c.Log.WithFields(inputFields(in, d)).WithFields(logrus.Fields{"event": "scalePlan", "reason": d.Reason}).Info("no replicas are ordered")
}

// logOrder logs an order with the inputs of its decision and its outcome.
func (s *Scaler) logOrder(permit duty.Permit, in scale.Input, d scale.Decision, o scale.Order, outcome scale.Outcome, took time.Duration, err error) {
	cause := ""
	if err != nil {
		cause = err.Error()
	}
	level := logrus.InfoLevel
	if outcome == scale.OutcomeUnknown || outcome == scale.OutcomeNotDone {
		level = logrus.WarnLevel
	}
	s.c.Log.WithFields(inputFields(in, d)).WithFields(logrus.Fields{
		"event": "scaleOrder", "reason": o.Reason, "zone": o.Zone, "spot": o.Spot, "count": o.Count,
		"ready": readyOf(in, o), "token": permit.Token, "outcome": outcome, "took": took.String(),
		"cause": cause,
	}).Log(level, "replicas ordered")
}
