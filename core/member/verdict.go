package member

// Reason says why a VM may or may not get new work.
type Reason string

// The reasons for a usable VM. ReasonListed: it is on the list. ReasonSaysLive: it
// is not on the list (yet) but states that it is live. ReasonAssumedLive: no VM of
// its role is usable, and it is only silent or suspected; the fault is more likely
// with the local VM.
const (
	ReasonListed      Reason = "listed"
	ReasonSaysLive    Reason = "saysLive"
	ReasonAssumedLive Reason = "assumedLive"
)

// The reasons for a VM that gets no new work. ReasonListLeaving: the list has it as
// leaving. ReasonSaysLeaving: it says itself that it is leaving. ReasonSilent: it
// does not answer the local VM. ReasonSuspected: it does not answer several VMs.
// ReasonGone: the list no longer has it. ReasonUnknown: nothing is known about it.
const (
	ReasonListLeaving Reason = "listLeaving"
	ReasonSaysLeaving Reason = "saysLeaving"
	ReasonSilent      Reason = "silent"
	ReasonSuspected   Reason = "suspected"
	ReasonGone        Reason = "gone"
	ReasonUnknown     Reason = "unknown"
)

// Verdict says whether a VM may get new work, and why.
type Verdict struct {
	VM     VM
	Usable bool
	Reason Reason
}

// Verdicts is a list of verdicts, sorted by VM ID.
type Verdicts []Verdict

// UsableVMs returns the usable VMs.
func (v Verdicts) UsableVMs() VMs {
	var out VMs
	for _, verdict := range v {
		if verdict.Usable {
			out = append(out, verdict.VM)
		}
	}
	return out
}

// ListResult is what SetList did with a list.
type ListResult string

// The results. ListTaken: the list was applied. ListEmpty: the list is empty and
// there was none before. ListKept: the list is empty; that is treated as a fault
// of the platform, and the last list stays in effect.
const (
	ListTaken ListResult = "taken"
	ListEmpty ListResult = "empty"
	ListKept  ListResult = "kept"
)
