package logw

import (
	"bytes"
	"context"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// A writer whose output does not keep up drops lines and counts them, and Write does
// not block.
func TestDropsAndCounts(t *testing.T) {
	var out bytes.Buffer
	w := New(Config{Output: &out, QueueSize: 2})
	for range 5 {
		_, err := w.Write([]byte("line\n"))
		assert.NilError(t, err)
	}
	assert.Equal(t, w.Dropped(), int64(3))
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	assert.NilError(t, w.Run(ctx))
	assert.Equal(t, strings.Count(out.String(), "line\n"), 2)
	assert.Assert(t, strings.Contains(out.String(), `"lines":3`), out.String())
}
