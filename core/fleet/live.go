package fleet

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// Digest returns a digest of the ids and revisions of the replicas whose entries exist. It is the
// same on two VMs if both know the same entries; entries that were removed do not count, also
// while they stay in use for a grace period.
func (r *Registry) Digest() uint64 {
	var live Records
	for _, rep := range r.replicas {
		if rep.record.Entry != nil && rep.usableUntil.IsZero() {
			live = append(live, rep.record)
		}
	}
	slices.SortFunc(live, func(a, b Record) int { return cmp.Compare(a.ID, b.ID) })
	var raw []byte
	for _, record := range live {
		raw = append(raw, record.ID...)
		raw = binary.BigEndian.AppendUint64(append(raw, 0), uint64(record.Revision))
	}
	return xxhash.Sum64(raw)
}
