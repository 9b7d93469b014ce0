package proxy

// Reason says why a request ended as it did; it goes into logs, metrics and the
// bodies of refusals.
type Reason string

// The reasons. All but ReasonDone, ReasonReplica and ReasonCallerGone are answers
// of the router's own.
const (
	ReasonDone Reason = "done"
	// ReasonReplicaFailed: the replica's own failure was passed on.
	ReasonReplicaFailed Reason = "replicaFailed"
	ReasonCallerGone    Reason = "callerGone"

	ReasonNoTable    Reason = "noConfiguration"
	ReasonStopping   Reason = "stopping"
	ReasonMalformed  Reason = "malformed"
	ReasonTooLarge   Reason = "bodyTooLarge"
	ReasonNoRoute    Reason = "noRoute"
	ReasonUnknownKey Reason = "unknownKey"
	// ReasonTableMayBeOld: the route or key is not known, but the table may be old.
	ReasonTableMayBeOld Reason = "configurationMayBeOld"
	// ReasonNoReplica: no replica of the service is known or left.
	ReasonNoReplica Reason = "noReplica"
	// ReasonAllReplicasFull: all replicas stayed full.
	ReasonAllReplicasFull Reason = "allReplicasFull"
	// ReasonReplicasRefused: the replicas that it was sent to refused it before running it.
	ReasonReplicasRefused Reason = "replicasRefused"
	// ReasonUnreachable: no replica could be connected to.
	ReasonUnreachable Reason = "replicasUnreachable"
	// ReasonAnswerLost: a replica may have run it, and its answer did not come whole.
	ReasonAnswerLost Reason = "answerLost"
	// ReasonTimeout: the caller's deadline or the route's timeout is over.
	ReasonTimeout Reason = "timeout"
)
