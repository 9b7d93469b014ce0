package claim

// Write is a conditional write of a record.
type Write struct {
	// IfRevision is the revision at which the key must have been changed last, 0 for a
	// key that must not exist.
	IfRevision int64
	Put        Record
}

// Result is how a write ended.
type Result string

// The results. Refused means that the condition didn't hold, NoEffect that the
// write surely never takes effect, Unknown that it may have had or have it yet.
const (
	ResultCommitted Result = "committed"
	ResultRefused   Result = "refused"
	ResultNoEffect  Result = "noEffect"
	ResultUnknown   Result = "unknown"
)

// Reply tells how a write ended.
type Reply struct {
	Result Result
	// Revision is that of the commit, or of the found record's last change.
	Revision int64
	// Found and Record are what was there when the write was refused.
	Found  bool
	Record Record
}
