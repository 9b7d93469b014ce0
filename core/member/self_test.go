package member

import (
	"encoding/json"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

func TestSelf(t *testing.T) {
	s, err := NewSelf(time.Unix(1000, 0), vm("x", "z1", StateLive))
	assert.NilError(t, err)
	first := s.Next()
	leaving := s.Leave()
	assert.Assert(t, leaving.Version() > first.Version())
	assert.Equal(t, leaving.VM.State, StateLeaving)

	// Other VMs still spread the statement of an earlier process, whose clock was
	// ahead.
	assert.Assert(t, !s.ObserveStatement(first))
	assert.Assert(t, s.ObserveStatement(statement("x", 2000, 7, StateLeaving)))
	assert.Equal(t, s.Next().Incarnation, uint64(2001))
	s.last.Sequence = maxSequence
	assert.Equal(t, s.Next().Version(), uint64(2002)<<sequenceBits|1)
}

func TestParseStatement(t *testing.T) {
	value, err := json.Marshal(statement("x", 3, 4, StateLeaving))
	assert.NilError(t, err)
	got, err := ParseStatement(value)
	assert.NilError(t, err)
	assert.Equal(t, got.Version(), uint64(3)<<sequenceBits|4)
	for _, bad := range []string{`{`, `{"vm":{},"incarnation":1}`, `{"incarnation":0}`} {
		_, err := ParseStatement([]byte(bad))
		assert.ErrorContains(t, err, "Statement", bad)
	}
}
