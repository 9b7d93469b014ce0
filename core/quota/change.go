package quota

// Change says what became of a replica's limit.
type Change string

// The changes. ChangeValue: the replica names another limit than before.
const (
	ChangeNone  Change = ""
	ChangeBegun Change = "begun"
	ChangeValue Change = "changed"
	ChangeEnded Change = "ended"
)
