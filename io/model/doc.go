// Package model holds a small discrete-event model of model engines, to drive
// the real decisions of core against it and to measure them. It models what the
// decisions are served by: engines that batch continuously (slots, prefill, a
// pace that falls as the batch grows), cache prompt prefixes, report their load
// with a lag, slow down and crash. Network, platform and VMs are not modelled,
// but for a fixed time between zones.
//
// # Usage
//
//	w, err := model.WorkloadByName("burst")
//	...
//	figures, err := model.Run(model.RunConfig{Workload: w, Site: model.Lindqvist, Policy: model.PolicyTiers, Seed: 1})
//
// Play goes further: it plays whole deployments, in which many entry VMs pass calls
// on by core/route and gossip, before engines that work as their data sheet says:
//
//	totals, err := model.Play(model.Wide, model.Passing{Router: entry.RouteConfig()}, 1)
//	fmt.Print(totals)
//
// A run depends on its config alone: the same config gives the same figures.
package model
