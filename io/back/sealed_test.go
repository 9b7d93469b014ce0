package back

import (
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
)

// A request that a closed pooled connection sends on to a new one has the first-byte
// timeout of new connections, so that a busy engine is not given up.
func TestFirstByteTimeoutAfterClosedConnection(t *testing.T) {
	b := newEngineClient(t, fakes.EngineConfig{PrefillTime: 2 * testTimeout})
	slow := func(letter string) Request {
		r := chat(strings.Repeat(letter, fakes.BlockBytes))
		r.FirstByteTimeout = 20 * testTimeout
		return r
	}
	_, err := b.do(t, slow("x"), discard)
	assert.NilError(t, err)
	assert.Equal(t, len(b.client.conns.sealIdle(b.target.Address)), 1)
	res, err := b.do(t, slow("y"), discard)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}
