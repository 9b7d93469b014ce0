package duty

import (
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// The kinds of error that a call to the platform's API returns.
const (
	// ErrFenced means that the platform has refused the call because it has seen a higher
	// fencing token, or because it cannot carry the order out.
	ErrFenced = errors.ConstError("refused by the platform's API")
	// ErrNotDone means that the call was certainly not executed.
	ErrNotDone = errors.ConstError("not executed by the platform's API")
	// ErrUnknown means that the call may have been executed or may be executed later.
	ErrUnknown = errors.ConstError("outcome of the call to the platform's API is unknown")
)

// Permit allows its holder to make calls of a duty until a time.
type Permit struct {
	Holder call.VMID
	// Token is the fencing token, which grows with each change of holder.
	Token int64
	// Until is the time from which the lease may have expired.
	Until time.Time
}
