package proxy

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"gentianwell/core/poison"
	"gentianwell/io/back"
)

// LostRun is a run of a request that ended before the response of its replica was complete:
// the connection was lost, or nobody waits any more.
type LostRun struct {
	Request     string
	Fingerprint poison.Fingerprint
	// Parts are the fingerprints of the parts of the prompt that other requests may share,
	// in order.
	Parts  []poison.Fingerprint
	Target back.Target
	// Sent is when the request was sent to the replica, At when the run was lost. Answered is
	// when the header of the response had arrived, FirstEvent and LastEvent the first and the
	// last event of a stream; zero if they had not.
	Sent, Answered, FirstEvent, LastEvent, At time.Time
	// Status is the status of the response; zero if its header had not arrived. Events
	// counts the events of a stream that had arrived.
	Status, Events int
	// Crashed is true if HasCrashed said so at the end of the response.
	Crashed bool
	// Silent is true if the connection was not lost: the replica was given up, the deadline
	// passed or the caller left while the response was awaited. The replica may be slow.
	Silent bool
}

func (p *proxyRequest) fingerprint() poison.Fingerprint {
	return poison.Fingerprint(p.call.Fingerprint)
}

// fingerprintOf returns a hash of what makes a caller's request the same as an earlier
// one: the team, the method, the host, the path with its query, and the body. The id
// differs between attempts and is left out.
func fingerprintOf(team, method, host, target string, body []byte) uint64 {
	digest := xxhash.New()
	for _, part := range []string{team, method, host, target} {
		// Digest.WriteString always returns a nil error; the zero byte separates parts.
		_, _ = digest.WriteString(part)
		_, _ = digest.Write([]byte{0})
	}
	_, _ = digest.Write(body)
	return digest.Sum64()
}

// partFingerprints returns a fingerprint for each part of a prompt that other requests may
// share. Unlike prefixHashes it hashes each part by itself: a part may crash replicas
// whatever precedes it.
func partFingerprints(parts []PromptPart) []poison.Fingerprint {
	if len(parts) < 2 {
		return nil
	}
	out := make([]poison.Fingerprint, 0, len(parts)-1)
	for _, part := range parts[:len(parts)-1] {
		out = append(out, poison.Fingerprint(xxhash.Sum64String(part.ID)))
	}
	return out
}
