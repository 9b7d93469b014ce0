package front

// The headers that gentianwell adds to the OpenAI-compatible API.
const (
	// HeaderClass names the request's class; without it the team's default counts.
	HeaderClass = "Gentianwell-Class"
	// HeaderDeadline is the time the answer may take, such as "1500ms" or "2s".
	HeaderDeadline = "Gentianwell-Deadline"
	// HeaderAttempt is 1 where the caller has not sent the request before. A
	// keyed request that is refused before its claim is known is then surely not
	// run; otherwise an earlier one with its key may have been.
	HeaderAttempt = "Gentianwell-Attempt"
	// HeaderOutcome tells whether the request was run: notRun, ran or unknown.
	HeaderOutcome = "Gentianwell-Outcome"
	// HeaderReason tells why a request was refused or failed.
	HeaderReason = "Gentianwell-Reason"
	// HeaderReplica names the replica that ran the request.
	HeaderReplica = "Gentianwell-Replica"
	// HeaderRequestID identifies the request in the logs.
	HeaderRequestID = "X-Request-Id"
	// HeaderIdempotencyKey is the caller's idempotency key.
	HeaderIdempotencyKey = "Idempotency-Key"
)
