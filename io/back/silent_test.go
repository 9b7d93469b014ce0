package back

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/io/fakes"
)

// A connection that goes silent in mid-stream costs its request the progress
// timeout, and the next request uses a new one.
func TestSilentInMidStream(t *testing.T) {
	b := newBench(t, fakes.EngineConfig{TokenGap: 2 * time.Millisecond})
	n := 0
	res, err := b.do(t, chat("[[length=1000]]"), func(Event) error {
		if n++; n == 5 {
			b.relay.Freeze()
		}
		return nil
	})
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
	res, err = b.do(t, chat("hello"), discard)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

// Connections that went silent while idle cost one progress timeout in all: the
// first that is found silent takes the others with it.
func TestSilentWhileIdle(t *testing.T) {
	b := newBench(t, fakes.EngineConfig{TokenGap: 5 * time.Millisecond})
	const pooled = 4
	done := make(chan error, pooled)
	for range pooled {
		go func() {
			_, err := b.client.Do(t.Context(), b.target, chat("hello"), discard)
			done <- err
		}()
	}
	for range pooled {
		assert.NilError(t, <-done)
	}
	assert.Equal(t, b.relay.Accepted(), pooled)
	b.relay.Freeze()
	res, err := b.do(t, chat("again"), discard)
	assert.Equal(t, res.Ending, EndingSilent, "%v", err)
	assert.Assert(t, res.Reused && res.BytesWritten)
	assert.Equal(t, b.logged.LastEntry().Data["event"], "silentConnection")
	for range pooled {
		res, err = b.do(t, chat("again"), discard)
		assert.NilError(t, err)
	}
	assert.Equal(t, b.relay.Accepted(), pooled+1)
}

// A new connection gives an engine the time to queue the request; on a reused one
// the progress timeout holds from the start.
func TestFirstTimeoutIsForNewConnections(t *testing.T) {
	b := newBench(t, fakes.EngineConfig{PrefillGap: 2 * testTimeout})
	slow := chat(strings.Repeat("x", fakes.BlockBytes))
	slow.FirstByteTimeout = time.Hour
	res, err := b.do(t, slow, discard)
	assert.NilError(t, err)
	assert.Equal(t, res.Reused, false)
	b.relay.Freeze()
	res, err = b.do(t, slow, discard)
	assert.Assert(t, res.SilentReused(), "%v", err)
}

// A fresh connection is not touched by what happened to the pooled ones.
func TestFreshIgnoresThePool(t *testing.T) {
	b := newBench(t, fakes.EngineConfig{})
	_, err := b.do(t, chat("hello"), discard)
	assert.NilError(t, err)
	b.relay.Freeze()
	r := chat("pay")
	r.NewConnection = true
	res, err := b.do(t, r, discard)
	assert.NilError(t, err)
	assert.Assert(t, !res.Reused)
}

// A caller that reads slowly is not taken for the backend server's silence.
func TestSlowSinkIsNotSilence(t *testing.T) {
	b := newBench(t, fakes.EngineConfig{})
	n := 0
	res, err := b.do(t, chat("hello"), func(Event) error {
		if n++; n == 2 {
			time.Sleep(2 * testTimeout)
		}
		return nil
	})
	assert.NilError(t, err)
	assert.Equal(t, res.Ending, EndingComplete)
}
