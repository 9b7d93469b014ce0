package proxy

import (
	"github.com/cespare/xxhash/v2"

	"gentianwell/core/poison"
	"gentianwell/io/back"
)

// LostRun is a run of a request whose replica lost the connection before the response
// was complete.
type LostRun struct {
	Request     string
	Fingerprint poison.Fingerprint
	Target      back.Target
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
