// Package scaler orders replicas as package scale plans them, while this VM has the permit.
//
// Every VM observes the demand, so that one that takes the duty over knows the recent peak. Only the
// holder of the permit plans and orders. Each order runs on a goroutine of its own and ends within
// Config.Takes.
//
// # Usage
//
//	s, err := scaler.New(scaler.Config{
//		Inputs: inputs, Permit: holder.Permit, Refused: holder.Refused, Order: api.OrderReplicas,
//		Now: time.Now, Log: log,
//	})
//	timers.Every("scale", scaler.Interval, s.Tick)
package scaler
