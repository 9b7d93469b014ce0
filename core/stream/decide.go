package stream

// Action is the next step after an attempt.
type Action string

// The actions. ActionResume and ActionRestart require another call to Begin.
const (
	ActionFinish  Action = "finish"
	ActionResume  Action = "resume"
	ActionRestart Action = "restart"
	ActionFail    Action = "fail"
)

// Again reports whether another attempt follows.
func (a Action) Again() bool { return a == ActionResume || a == ActionRestart }

// Decision is the next step after an attempt, with its reason.
type Decision struct {
	Action Action
	Reason string
	// Event is the error event for the caller; set only with ActionFail.
	Event []byte
}

// End ends the current attempt and decides what follows. The cause says what ended
// the attempt and becomes part of the reason, except after a complete answer.
func (a *Answer) End(cause string) Decision {
	a.ended = true
	if a.complete {
		return Decision{Action: ActionFinish, Reason: "answer is complete"}
	}
	if obstacle := a.Obstacle(); obstacle != "" {
		return a.fail(cause + "; " + obstacle)
	}
	if !a.hasContent() {
		a.restart()
		return Decision{Action: ActionRestart, Reason: cause + "; the caller has no text yet"}
	}
	return Decision{Action: ActionResume, Reason: cause + "; the text so far is handed on"}
}

// Obstacle returns why no further attempt could follow the current one if it ended now,
// or an empty string if one could.
func (a *Answer) Obstacle() string {
	switch {
	case a.complete:
		return "the answer is complete"
	case a.broken:
		return "the text so far is wrong"
	case !a.config.Idempotent:
		return "the request must not run again"
	case a.stats.Attempts >= a.config.MaxAttempts:
		return "no attempts are left"
	case !a.hasContent():
		return ""
	}
	return a.unresumableReason()
}

// Abandon fails the answer for an external reason, such as an exhausted retry
// budget or a caller that has disconnected.
func (a *Answer) Abandon(reason string) Decision {
	a.ended = true
	return a.fail(reason)
}

func (a *Answer) fail(reason string) Decision {
	a.stats.Wasted += a.stats.Tokens
	a.stats.Tokens = 0
	return Decision{Action: ActionFail, Reason: reason, Event: ErrorEvent(reason)}
}

// restart discards the content of all attempts so far.
func (a *Answer) restart() {
	a.stats.Wasted += a.stats.Tokens
	a.stats.Tokens = 0
	for i := range a.choices {
		a.choices[i].restart()
		a.assembly.choices[i] = assembledChoice{}
	}
}

// unresumableReason returns why another replica cannot continue the text so far, or
// an empty string if it can.
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
