package back

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// errMemoryFull is the error of a body that does not fit beside those of other attempts.
const errMemoryFull = errors.ConstError("the response bodies that are being read exceed Config.MaxBodies")

// bodyMemory limits the sum of the bodies that all attempts of a client are reading.
type bodyMemory struct {
	limit int64
	held  atomic.Int64
}

// countedBody reads a body and counts its bytes as held until release.
type countedBody struct {
	io.Reader
	memory *bodyMemory
	held   int64
}

// Read reads a part of the body. It returns errMemoryFull if the part does not fit. A single
// body may take all of the memory.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.Reader.Read(p)
	b.held += int64(n)
	if sum := b.memory.held.Add(int64(n)); sum > b.memory.limit && sum > b.held {
		return 0, errMemoryFull
	}
	return n, err
}

func (b *countedBody) release() { b.memory.held.Add(-b.held) }
