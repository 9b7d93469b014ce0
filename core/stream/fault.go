package stream

// Fault is the reason why Feed or CheckBody rejects an answer. It is their error.
type Fault string

// The faults. After FaultOrder and FaultExcess, the caller already has a wrong text,
// so that the answer can only end with an error event. The same holds for
// FaultOtherAnswer at the second chunk of an attempt, if the first had content. After
// the other faults the text so far is correct.
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

// Error implements error.
func (f Fault) Error() string { return string(f) }
