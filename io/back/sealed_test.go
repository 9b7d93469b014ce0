package back

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
)

// pooledClient returns a client whose pool holds n connections to its engine.
func pooledClient(t *testing.T, n int, c fakes.EngineConfig) *testClient {
	t.Helper()
	b := newEngineClient(t, c)
	done := make(chan error, n)
	for range n {
		go func() {
			_, err := b.client.Do(t.Context(), b.target, chat("hello"), discard)
			done <- err
		}()
	}
	for range n {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, b.relay.Accepted(), n)
	return b
}

// Connections that this side closed while net/http still had them in its pool cost one
// new connection in total, which later requests reuse.
func TestClosedConnectionsCostOneDial(t *testing.T) {
	const pooled = 4
	b := pooledClient(t, pooled, fakes.EngineConfig{TokenGap: 5 * time.Millisecond})
	// Sealed but not closed yet: what the pool has not noticed.
	assert.Equal(t, len(b.client.conns.sealIdle(b.target.Address)), pooled)
	for range pooled {
		_, err := b.do(t, chat("again"), discard)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.relay.Accepted(), pooled+1)
}

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
