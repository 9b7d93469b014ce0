package table

import (
	"math"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// maxBoot and maxReplicas are far more than any deployment has.
const (
	maxBoot     = time.Hour
	maxReplicas = 100_000
)

// Autoscale is the configuration of a service whose number of replicas the router orders.
type Autoscale struct {
	// Min and Max bound the replicas in each availability zone, those of both kinds together.
	Min, Max int
	// Boot is the time from an order until a new replica serves.
	Boot time.Duration
	// SpotPrice is the price of a spot replica as a part of another's; zero if there are none.
	SpotPrice float64
	// ZonePrices holds the price of a replica for one second, by zone.
	ZonePrices map[call.Zone]float64
}

// Validate checks the fields.
//
// Errors: NotValid, which names the field.
func (a *Autoscale) Validate() error {
	switch {
	case a.Min < 0 || a.Max < 1 || a.Max > maxReplicas || a.Min > a.Max:
		return errors.NotValidf("autoscale: min %d, max %d (0 to max, and 1 to %d)", a.Min, a.Max, maxReplicas)
	case a.Boot < 0 || a.Boot > maxBoot:
		return errors.NotValidf("autoscale: bootS %s (0 to %s)", a.Boot, maxBoot)
	case !(a.SpotPrice >= 0) || math.IsInf(a.SpotPrice, 0):
		return errors.NotValidf("autoscale: spotPrice %g (at least 0)", a.SpotPrice)
	}
	for zone, price := range a.ZonePrices {
		if zone == "" || !(price >= 0) || math.IsInf(price, 0) {
			return errors.NotValidf("autoscale: zonePrices %q: %g (a zone's name and at least 0)", zone, price)
		}
	}
	return nil
}
