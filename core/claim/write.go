package claim

// Write is a conditional write of a record.
type Write struct {
	// IfRevision is the revision at which the key must have been last changed, or
	// 0 if the key must not exist.
	IfRevision int64
	Put        Record
}

// Result is the result of a write.
type Result string

// The results. Refused means that the condition was not met, NoEffect that the
// write certainly never takes effect, Unknown that it may have taken effect or
// may still do so.
const (
	ResultCommitted Result = "committed"
	ResultRefused   Result = "refused"
	ResultNoEffect  Result = "noEffect"
	ResultUnknown   Result = "unknown"
)

// Reply is the platform's reply to a write, or the lack of one.
type Reply struct {
	Result Result
	// Revision is the revision of the commit, or that of the last change of the
	// record that was found.
	Revision int64
	// Found and Record are the record that existed when the write was refused.
	Found  bool
	Record Record
}
