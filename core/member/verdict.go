package member

// Reason says why a VM may or may not get new work.
type Reason string

// The reasons for a usable VM: the list has it, or it says so itself although
// the list does not have it (yet), or every VM of its role is silent or
// suspected, so that the fault is rather with this VM.
const (
	ReasonListed      Reason = "listed"
	ReasonSaysLive    Reason = "saysLive"
	ReasonAssumedLive Reason = "assumedLive"
)

// The reasons for a VM that gets no new work. ReasonSilent: it does not answer
// this VM. ReasonSuspected: it does not answer several others.
const (
	ReasonListLeaving Reason = "listLeaving"
	ReasonSaysLeaving Reason = "saysLeaving"
	ReasonSilent      Reason = "silent"
	ReasonSuspected   Reason = "suspected"
	ReasonGone        Reason = "gone"
	ReasonUnknown     Reason = "unknown"
)

// Verdict is whether a VM may get new work.
type Verdict struct {
	VM     VM
	Usable bool
	Reason Reason
}

// Verdicts are verdicts in the order of the VMs' ids.
type Verdicts []Verdict

// UsableVMs returns the usable UsableVMs.
func (v Verdicts) UsableVMs() VMs {
	var out VMs
	for _, verdict := range v {
		if verdict.Usable {
			out = append(out, verdict.VM)
		}
	}
	return out
}

// ListResult says what became of a list.
type ListResult string

// The reasons. An empty list after one that was not is taken for a fault of the
// platform, and the last list is kept.
const (
	ListTaken ListResult = "taken"
	ListEmpty ListResult = "empty"
	ListKept  ListResult = "kept"
)
