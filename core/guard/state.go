package guard

// State is what a connection is doing.
type State string

// The states.
const (
	// StateRefused is after a refusal, until the client has read it.
	StateRefused State = "refused"
	// StateNew is before the first byte, StateIdle between two requests.
	StateNew  State = "new"
	StateIdle State = "idle"
	// StateAnswered is between two messages of a protocol whose reader keeps its buffer.
	StateAnswered State = "answered"
	StateHead     State = "head"
	StateBody     State = "body"
	// StateRun is from the end of the request to the end of its response.
	StateRun State = "run"
	// StateWrite is that of a connection whose client has to read before the response goes on.
	StateWrite State = "write"
)

// order returns the place of a state in the order in which connections are closed; negative
// if they are not.
func (s State) order() int {
	switch s {
	case StateRefused:
		return 0
	case StateNew:
		return 1
	case StateHead:
		return 2
	case StateIdle:
		return 3
	case StateAnswered:
		return 4
	case StateBody:
		return 5
	case StateWrite:
		return 6
	}
	return -1
}
