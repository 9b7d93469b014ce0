package quota

import "gentianwell/core/call"

// VM is a VM that may send requests.
type VM struct {
	ID call.VMID
	// Zone is its availability zone; empty if not known.
	Zone call.Zone
}
