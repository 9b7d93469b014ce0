// Package prober decides which VMs compare their watches of the store's changes with the store, and
// when each of them does.
//
// A watch may stop delivering changes without an error. Reading the store's revision shows that, and
// one read in each interval is enough for all VMs, as the VM that finds a change tells the others.
// A few VMs have an order. The first one reads in each interval and tells all VMs, by a tree; the next
// ones in the order read by themselves once they have heard of no read for longer, one after the other,
// and after them any VM. So a VM that stands still, or that cannot read the store, delays the next read
// by Config.Step, and whichever VMs do, each other one reads after Config.MaxAge at the latest.
//
// # Usage
//
//	schedule, err := prober.New(prober.Config{Self: "vm-2", Interval: 700 * time.Millisecond, Step: 250 * time.Millisecond})
//	schedule.SetVMs(vms)                          // whenever they may have changed
//	schedule.Heard(at)                            // another VM has told of a read that it began at a time
//	if reason, due := schedule.Due(now, prober.State{Age: age}); due {
//		…                                     // read, and tell the VMs of Children
//		schedule.Answered(err == nil)
//	}
//
// All times are of the clock of the VM that decides. The package has no I/O.
package prober
