package kvs

// Revision is the service's global revision. It grows with every change, also where the
// service was restored from an older copy and gives its own numbers out again: it is a
// pair of an era, which grows with each restore, and a number, and is ordered by the era
// first. Of a service that does not tell its era, it is zero.
//
// What was read or written in an earlier era may be lost, and a condition on a revision of
// one never holds.
type Revision int64

// numberBits is the number of bits of a Revision that hold its number. At a thousand changes
// a second they last for 34 years.
const numberBits = 40

// The greatest era and number of a Revision.
const (
	MaxEra    int64 = 1<<(63-numberBits) - 1
	MaxNumber int64 = 1<<numberBits - 1
)

// MakeRevision returns the revision of an era, which is from 0 to MaxEra, and a number from
// 0 to MaxNumber.
func MakeRevision(era, number int64) Revision { return Revision(era<<numberBits | number) }

// Era returns the number of times that the service was restored, as it tells.
func (r Revision) Era() int64 { return int64(r) >> numberBits }

// Number returns the service's own number of the revision.
func (r Revision) Number() int64 { return int64(r) & MaxNumber }
