package origin

// Evidence is how a VM knows that there is no record of a stream.
type Evidence string

// The kinds of evidence.
const (
	// EvidenceStore means that the store had no record when it was asked for the stream.
	EvidenceStore Evidence = "store"
	// EvidenceOutage means that the store cannot be read and that no other VM can read it, so
	// that none has learned of another version meanwhile.
	EvidenceOutage Evidence = "outage"
	// EvidenceNone means that the VM is out of touch: others may have begun streams at versions
	// that it does not know.
	EvidenceNone Evidence = "none"
)
