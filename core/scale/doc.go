// Package scale decides how many replicas of a service each availability zone should have.
//
// Plan is a pure function of the input, of a History of earlier inputs and of a Ledger of earlier
// orders. Orders name an absolute number of replicas, so that an order that is executed twice has no
// further effect. Callers come before cost: more replicas are ordered at once, fewer only after a
// whole window of lower demand.
//
// # Usage
//
//	p := scale.Planner{Config: scale.Config{}.Defaults(), History: &scale.History{}, Ledger: &scale.Ledger{}}
//	p.Observe(input)                 // once a second, also while another VM orders
//	d := p.Plan(input)
//	for _, o := range d.Orders {
//		p.Ledger.Sent(now, o, ready) // before the call
//		p.Ledger.Ended(now, o, scale.OutcomeUnknown)
//	}
//
// Package io/scaler carries orders out. No type is safe for concurrent use, except Meter.
package scale
