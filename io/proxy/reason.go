package proxy

// Reason says why a request ended as it did; it goes into logs, metrics and the
// bodies of refusals.
type Reason string

// The reasons. For all but ReasonDone, ReasonReplicaFailed and ReasonCallerGone, the
// router itself refuses the request or aborts the response.
const (
	ReasonDone Reason = "done"
	// ReasonReplicaFailed: the replica's error response was forwarded.
	ReasonReplicaFailed Reason = "replicaFailed"
	ReasonCallerGone    Reason = "callerGone"

	ReasonNoTable   Reason = "noConfiguration"
	ReasonStopping  Reason = "stopping"
	ReasonMalformed Reason = "malformed"
	ReasonTooLarge  Reason = "bodyTooLarge"
	// ReasonMemoryFull: the body does not fit beside those of other requests.
	ReasonMemoryFull Reason = "memoryFull"
	ReasonNoRoute    Reason = "noRoute"
	// ReasonRouteNotValid: the operator's configuration of the route is not valid.
	ReasonRouteNotValid Reason = "routeNotValid"
	ReasonUnknownKey    Reason = "unknownKey"
	// ReasonTableMayBeOld: the route or key is unknown, but the table may be outdated.
	ReasonTableMayBeOld Reason = "configurationMayBeOld"
	// ReasonNoReplica: the service has no replica, or none is left.
	ReasonNoReplica Reason = "noReplica"
	// ReasonAllReplicasFull: all replicas were full until the wait for a slot ended.
	ReasonAllReplicasFull Reason = "allReplicasFull"
	// ReasonVersionGone: a stream can only go on at the version of the backend server that began
	// it, and the service has no replica of that version.
	ReasonVersionGone Reason = "versionGone"
	// ReasonVersionUnknown: the version that began a stream is not known now.
	ReasonVersionUnknown Reason = "versionUnknown"
	// ReasonVersionUnrecorded: a stream could only begin at a version that this VM cannot record
	// now, so that it could not be taken up.
	ReasonVersionUnrecorded Reason = "versionUnrecorded"
	// ReasonLimited: the replicas that are left have named limits that are used up.
	ReasonLimited Reason = "backendLimits"
	// ReasonOverTeamShare: the service is short of capacity, and the team asks for more than its share.
	ReasonOverTeamShare Reason = "overTeamShare"
	// ReasonReplicasRefused: the replicas refused the request without running it.
	ReasonReplicasRefused Reason = "replicasRefused"
	// ReasonUnreachable: no replica could be connected to.
	ReasonUnreachable Reason = "replicasUnreachable"
	// ReasonCrashedReplicas: the request has crashed the replicas that ran it before.
	ReasonCrashedReplicas Reason = "crashedReplicas"
	// ReasonCrashingPart: requests with a part of this prompt have crashed replicas.
	ReasonCrashingPart Reason = "crashingPart"
	// ReasonAnswerLost: a replica may have run the request, and its response did not
	// arrive complete.
	ReasonAnswerLost Reason = "answerLost"
	// ReasonTimeout: the caller's deadline or the route's timeout has passed.
	ReasonTimeout Reason = "timeout"
)
