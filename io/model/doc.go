// Package model measures the queueing and routing decisions of core in a discrete-event
// simulation of model engines. The decisions are the real code; the simulated engines
// use continuous batching (slots, prefill, steps that take longer as the batch grows),
// cache prompt prefixes, report their load with a lag, slow down and crash. Run models
// neither the network nor the platform, and of the VMs only their decisions.
//
// # Usage
//
//	w, err := model.WorkloadByName("burst")
//	...
//	figures, err := model.Run(model.RunConfig{Workload: w, Site: model.Lindqvist, Policy: model.PolicyTiers, Seed: 1})
//
// SimulateDeployment simulates whole deployments: many entry VMs that route calls by
// core/route and exchange gossip, and engines with the figures of their data sheets.
// The network is a fixed time between a VM and an engine.
//
//	totals, err := model.SimulateDeployment(model.Wide, model.VMConfig{Router: entry.RouteConfig()}, 1)
//	fmt.Print(totals)
//
// The same arguments give the same figures.
package model
