// Package prober decides which VMs compare their watches of the store's changes with the store, and
// when each of them does.
//
// A watch may stop delivering changes without an error. Reading the store's revision shows that, and
// one read in each interval is enough for all VMs, as the VM that finds a change tells the others.
// The VMs that may do so have an order. The first one reads in each interval and tells the others in
// the order; each of these reads by itself once it has heard of no read for longer, the next one in
// the order first. So a VM that stands still, or that cannot read the store, delays the next read by
// Config.Step only.
//
// # Usage
//
//	schedule, err := prober.New(prober.Config{Self: "vm-2", Interval: 700 * time.Millisecond, Step: 250 * time.Millisecond})
//	schedule.SetVMs(vms)                          // whenever they may have changed
//	schedule.Heard(at)                            // another VM has told of a read that it began at a time
//	if reason, due := schedule.Due(now, false); due {
//		…                                     // read, then tell schedule.Others()
//	}
//
// All times are of the clock of the VM that decides. The package has no I/O.
package prober
