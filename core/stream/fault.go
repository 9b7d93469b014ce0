package stream

// Fault is why an attempt's chunk cannot be used. Feed returns it as its error.
type Fault string

// The faults. After FaultOrder the caller has already seen a wrong text, so that
// only an error event is left; after the others the text so far is sound.
const (
	FaultParse       Fault = "chunk is no JSON object of the expected form"
	FaultEngine      Fault = "engine reported an error in mid-stream"
	FaultOtherAnswer Fault = "chunk belongs to another answer"
	FaultModel       Fault = "chunk names another model"
	FaultIndex       Fault = "chunk has a choice that was not asked for"
	FaultOrder       Fault = "chunks came out of order"
	FaultGap         Fault = "chunks are missing"
	FaultAfterFinish Fault = "text after the finish"
	FaultNoFinish    Fault = "stream ended without a finish"
	FaultEcho        Fault = "resumed answer does not begin with the partial text"
	FaultExcess      Fault = "more chunks than tokens"
	FaultEnded       Fault = "attempt has already ended"
)

// Error returns the fault as text.
func (f Fault) Error() string { return string(f) }
