package limit

import (
	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// Owner returns the VM, of the live ones, that owns the key. It uses rendezvous
// hashing, so a VM that joins or leaves moves only the keys that it owns or
// owned. The result is empty if the list is.
func Owner(key Key, live []call.VMID) call.VMID {
	var owner call.VMID
	var best uint64
	for _, vm := range live {
		score := xxhash.Sum64String(string(key) + "\x00" + string(vm))
		if owner == "" || score > best || (score == best && vm < owner) {
			owner, best = vm, score
		}
	}
	return owner
}
