package guard

// The defaults of Limits, for processes that were not told theirs.
const (
	defaultMemoryBytes = 512 << 20
	defaultMaxFds      = 4096
)

// What the limits of a process are divided into.
const (
	// reservedFds are for files.
	reservedFds = 200
	// The listeners get these parts of the other descriptors. What is left is for connections to
	// replicas, of which each caller's request may need one, to the store and to peers.
	callerFdPart, peerFdPart, serviceFdPart = 0.45, 0.15, 0.04
	// minServiceConns lets several checkers connect at once, however few descriptors there are.
	minServiceConns = 8
	// connBytes is what one connection without a head holds: stacks, buffers and a part of a
	// response that is being forwarded. callerConnPart of the memory is for them.
	connBytes      = 32 << 10
	callerConnPart = 0.15
	// bodyPart of the memory is for bodies of requests. Garbage of the same size may be left of
	// finished ones.
	bodyPart = 0.25
	// The parts of the memory for heads.
	callerHeadPart, serviceHeadPart = 0.1, 0.02
	// peerPart of the memory is for messages of peers that arrive.
	peerPart = 0.15
)

// Limits are those of a process.
type Limits struct {
	// MemoryBytes and MaxFds are its memory and its descriptors; zero means the default.
	MemoryBytes int64
	MaxFds      int
}

// Plan is what each listener of a process may use.
type Plan struct {
	Callers, Peers Config
	// Service is that of each other listener: readiness, metrics, operators.
	Service Config
	// BodyBytes is the memory for bodies of requests.
	BodyBytes int64
}

// Plan divides the limits between the listeners.
func (l Limits) Plan() Plan {
	memory, fds := float64(l.MemoryBytes), float64(l.MaxFds)
	if memory <= 0 {
		memory = defaultMemoryBytes
	}
	if fds <= 0 {
		fds = defaultMaxFds
	}
	// A process with few descriptors keeps half of them for connections.
	fds = max(fds-reservedFds, fds/2)
	callers := min(callerFdPart*fds, callerConnPart*memory/connBytes)
	return Plan{
		BodyBytes: int64(bodyPart * memory),
		Callers:   Config{MaxConns: max(1, int(callers)), MaxBytes: int64(callerHeadPart * memory)},
		Peers:     Config{MaxConns: max(1, int(peerFdPart*fds)), MaxBytes: int64(peerPart * memory)},
		Service:   Config{MaxConns: max(minServiceConns, int(serviceFdPart*fds)), MaxBytes: int64(serviceHeadPart * memory)},
	}
}
