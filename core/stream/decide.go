package stream

// Action is what follows an attempt.
type Action string

// The actions. ActionResume and ActionRestart ask for another Begin.
const (
	ActionFinish  Action = "finish"
	ActionResume  Action = "resume"
	ActionRestart Action = "restart"
	ActionFail    Action = "fail"
)

// Again reports whether another attempt is to be made.
func (a Action) Again() bool { return a == ActionResume || a == ActionRestart }

// Decision is what follows an attempt, and why.
type Decision struct {
	Action Action
	Reason string
	// Event is the error event for the caller, with ActionFail.
	Event []byte
}

// End ends the present attempt. The cause says what ended it, for the reason.
func (a *Answer) End(cause string) Decision {
	a.ended = true
	if a.complete {
		return Decision{Action: ActionFinish, Reason: "answer is whole"}
	}
	if a.broken {
		return a.fail(cause + "; the text so far is wrong")
	}
	if !a.config.Idempotent {
		return a.fail(cause + "; the request must not run again")
	}
	if a.stats.Attempts >= a.config.MaxAttempts {
		return a.fail(cause + "; no attempts are left")
	}
	if !a.sentContent() {
		a.restart()
		return Decision{Action: ActionRestart, Reason: cause + "; the caller has no text yet"}
	}
	if reason := a.unresumableReason(); reason != "" {
		return a.fail(cause + "; " + reason)
	}
	return Decision{Action: ActionResume, Reason: cause + "; the text so far is handed on"}
}

// Abandon gives the answer up, for a reason that lies outside it: a retry budget
// that is spent, or a caller that is gone.
func (a *Answer) Abandon(reason string) Decision {
	a.ended = true
	return a.fail(reason)
}

func (a *Answer) fail(reason string) Decision {
	a.stats.Wasted += a.stats.Tokens
	a.stats.Tokens = 0
	return Decision{Action: ActionFail, Reason: reason, Event: ErrorEvent(reason)}
}

func (a *Answer) restart() {
	a.stats.Wasted += a.stats.Tokens
	a.stats.Tokens = 0
	for i := range a.choices {
		a.choices[i].restart()
		a.assembly.choices[i] = assembledChoice{}
	}
}

// unresumableReason returns why the text so far cannot be handed to another replica, or
// nothing.
func (a *Answer) unresumableReason() string {
	ch := &a.choices[0]
	switch {
	case !a.config.Engine.CanResume:
		return "the engine cannot resume"
	case len(a.choices) > 1:
		return "an answer with several choices cannot be resumed"
	case ch.nonText:
		return "an answer with more than text cannot be resumed"
	case ch.finished:
		return "the stream broke off after the finish"
	}
	return a.request.unresumableReason(ch.tokens)
}
