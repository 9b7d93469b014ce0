// Package reader decides which VMs watch the list of replicas in the store for the other VMs of
// their zones, and when another VM has to watch it by itself.
//
// Readers tell the other VMs up to which time their list was complete, with a digest of it. A VM
// whose own list has the same digest knows that it misses nothing up to that time, also where a
// message with a change was lost.
//
// # Usage
//
//	readers := reader.Select(vms)                  // on each VM, from the VMs that it knows
//	w, err := reader.NewWatch(reader.Config{MaxAge: 600 * time.Millisecond})
//	w.Heard(now, reader.Claim{Reader: "vm-2", CompleteAt: at, Matches: digest == own})
//	d := w.Decide(now, reader.State{VMs: 61, HasList: true, StoreUp: true})
//	if d.Watch { … }
//
// All times are of the clock of the VM that decides. The package has no I/O.
package reader
