package retry

import (
	"cmp"
	"sync"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
)

// otherClasses is the key of the budget shared by the classes beyond MaxClasses.
const otherClasses call.Class = ""

// Policy decides on retries for the calls of one VM.
type Policy struct {
	c       Config
	mu      sync.Mutex
	vm      *budget
	classes map[call.Class]*budget
}

// New returns a Policy with full budgets. Unset fields of the config are set to
// their defaults.
//
// Errors: NotValid, with the field.
func New(c Config) (*Policy, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "retry.New")
	}
	return &Policy{c: c, classes: map[call.Class]*budget{}}, nil
}

// SetBudget changes MinPerSecond and Burst, with lower bounds of 0 and 1. The
// budgets keep what is left in them, up to the new Burst.
func (p *Policy) SetBudget(minPerSecond, burst float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.c.MinPerSecond, p.c.Burst = max(0, minPerSecond), max(1, burst)
}

// RecordFirstAttempt records the first attempt of a call. It adds share, a
// fraction of a retry from 0 to 1, to the budgets of the VM and of the class.
func (p *Policy) RecordFirstAttempt(now time.Time, class call.Class, share float64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, own := p.refilledBudgets(now, class)
	vm.add(share, p.c)
	own.add(share, p.c)
}

// Decide returns whether a call is retried. A retry after CauseUnreachable takes
// nothing from the budgets, since the attempt cost no backend server any work.
func (p *Policy) Decide(now time.Time, a Attempt) Decision {
	p.mu.Lock()
	defer p.mu.Unlock()
	if reason := p.forbidden(a); reason != "" {
		return Decision{Action: ActionGiveUp, Reason: reason}
	}
	wait := p.pause(a.Number)
	if !a.Deadline.IsZero() && now.Add(wait+p.c.MinRun).After(a.Deadline) {
		return Decision{Action: ActionGiveUp, Reason: ReasonDeadline}
	}
	if a.Cause != CauseUnreachable {
		if reason := p.spend(now, a.Class); reason != "" {
			return Decision{Action: ActionGiveUp, Reason: reason}
		}
	}
	reason := ReasonIdempotent
	if a.surelyNotRun() {
		reason = ReasonNotRun
	}
	return Decision{Action: ActionRetry, Reason: reason, Wait: wait}
}

// Refund returns to the budgets a retry that Decide allowed and that was not made.
func (p *Policy) Refund(now time.Time, class call.Class) {
	p.mu.Lock()
	defer p.mu.Unlock()
	vm, own := p.refilledBudgets(now, class)
	vm.add(1, p.c)
	own.add(1, p.c)
}

// forbidden returns the reason why the attempt must not be retried, or "" if it may
// be.
func (p *Policy) forbidden(a Attempt) Reason {
	switch {
	case a.Outcome == call.OutcomeRan:
		return ReasonAnswered
	case a.Cause == CauseCanceled:
		return ReasonCanceled
	case a.Cause == CauseRejected:
		return ReasonRejected
	case a.Delivered:
		return ReasonDelivered
	case !a.Idempotent && !a.surelyNotRun():
		return ReasonMayHaveRun
	case a.Number >= cmp.Or(a.MaxAttempts, p.c.MaxAttempts):
		return ReasonAttempts
	}
	return ""
}

// spend takes one retry from both budgets, or none if either has too little left.
// It returns the reason in that case, or "".
func (p *Policy) spend(now time.Time, class call.Class) Reason {
	vm, own := p.refilledBudgets(now, class)
	switch {
	case !own.enough():
		return ReasonBudgetOfClass
	case !vm.enough():
		return ReasonBudgetOfVM
	}
	vm.left--
	own.left--
	return ""
}

// pause draws the pause before the retry that follows the attempt with this number:
// exponential backoff with full jitter.
func (p *Policy) pause(number int) time.Duration {
	longest := p.c.Backoff
	for range number - 1 {
		longest = min(2*longest, p.c.BackoffMax)
	}
	if longest <= 0 {
		return 0
	}
	return time.Duration(p.c.Rand.Int64N(int64(longest)))
}

// refilledBudgets returns the budgets of the VM and of the class, refilled up to now.
func (p *Policy) refilledBudgets(now time.Time, class call.Class) (vm, own *budget) {
	if p.vm == nil {
		p.vm = newBudget(now, p.c)
	}
	if p.classes[class] == nil && len(p.classes) >= p.c.MaxClasses {
		class = otherClasses
	}
	own = p.classes[class]
	if own == nil {
		own = newBudget(now, p.c)
		p.classes[class] = own
	}
	p.vm.refill(now, p.c)
	own.refill(now, p.c)
	return p.vm, own
}
