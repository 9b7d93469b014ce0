package front

// The headers that gentianwell adds to the OpenAI-compatible API.
const (
	// HeaderClass is the request's class; the default is the team's default class.
	HeaderClass = "Gentianwell-Class"
	// HeaderDeadline is the time that the answer may take, such as "1500ms" or "2s".
	HeaderDeadline = "Gentianwell-Deadline"
	// HeaderAttempt is 1 if the caller has not sent the request before. If a request
	// with a key is refused before the state of its claim is known, it is then certain
	// that it was not run. Otherwise an earlier request with the key may have been run.
	HeaderAttempt = "Gentianwell-Attempt"
	// HeaderOutcome says whether the request was run: notRun, ran or unknown.
	HeaderOutcome = "Gentianwell-Outcome"
	// HeaderReason says why a request was refused or failed.
	HeaderReason = "Gentianwell-Reason"
	// HeaderReplica is the ID of the replica that ran the request.
	HeaderReplica = "Gentianwell-Replica"
	// HeaderRequestID identifies the request in the logs.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)
