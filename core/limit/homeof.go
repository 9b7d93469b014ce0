package limit

import (
	"github.com/cespare/xxhash/v2"

	"gentianwell/core/call"
)

// Owner returns the VM, of the live ones, that is the key's home, by rendezvous
// hashing: a VM that comes or goes moves only the keys that are or were its own.
// It is empty where the list is.
func Owner(key Key, live []call.VMID) call.VMID {
	var home call.VMID
	var best uint64
	for _, vm := range live {
		score := xxhash.Sum64String(string(key) + "\x00" + string(vm))
		if home == "" || score > best || (score == best && vm < home) {
			home, best = vm, score
		}
	}
	return home
}
