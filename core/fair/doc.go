// Package fair divides a service's capacity between teams while it is short.
//
// Each VM measures the work that each team asks for and is granted, as sums that decay within
// seconds. The VMs average their sums in pairs (gossip averaging, as in core/route), so that all of
// them know each team's part of the fleet's work. While the router reports that it has no room, the
// granted work of all teams is the capacity. It is divided by max-min fairness: a team that asks for
// less than the others keeps all it asks for, and what it leaves is divided between the others.
//
// # Usage
//
//	f, err := fair.New(fair.Config{})
//	v := f.Ask(now, fair.Request{Team: "judges", Model: "drafts", PromptTokens: 900, Random: rand.Float64})
//	if !v.Admitted {
//		return refuse(v.RetryAfter)
//	}
//	d, err := router.Pick(now, c, nil)
//	if errors.Is(err, route.ErrBusy) {
//		f.Short(now, request)
//	}
//	f.Granted(now, request) // once a replica has a place for it
//
// Source: D. Bertsekas, R. Gallager, "Data Networks", section 6.5.2 (max-min fairness).
package fair
