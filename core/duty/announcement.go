package duty

import "gentianwell/core/call"

// Announcement is what the holder tells the other VMs by gossip.
type Announcement struct {
	// Holder is empty if the holder has given the lease back.
	Holder call.VMID `json:"vm,omitempty"`
	Token  int64     `json:"token"`
	// Renewal is the number of announcements in the term before this one.
	Renewal int64 `json:"renewal"`
	// DoneUntil is the last window of usage whose counts are not needed any more; zero if
	// that is not known.
	DoneUntil int64 `json:"doneUntil,omitempty"`
}

// renewalBits is the number of bits of a version for Renewal: at one announcement a second
// they last for 48 days. A token in milliseconds takes 41 of the other 42 bits.
const renewalBits = 22

// Version orders announcements: by the token, then by the renewal.
func (a Announcement) Version() uint64 {
	return uint64(a.Token)<<renewalBits | uint64(min(a.Renewal, 1<<renewalBits-1))
}
