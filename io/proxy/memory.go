package proxy

import (
	"io"
	"sync/atomic"

	"github.com/juju/errors"
)

// errMemoryFull is the error of a body that does not fit beside the others.
const errMemoryFull = errors.ConstError("the bodies of the requests in progress fill the memory for them")

// bodyMemory limits the sum of the bodies of all requests in progress.
type bodyMemory struct {
	// limit is in bytes; zero means none.
	limit int64
	held  atomic.Int64
}

// reserve adds to the sum and reports whether that is within the limit. A single body may
// exceed it.
func (m *bodyMemory) reserve(own, more int64) bool {
	sum := m.held.Add(more)
	if m.limit > 0 && sum > m.limit && sum > own+more {
		m.held.Add(-more)
		return false
	}
	return true
}

func (m *bodyMemory) release(n int64) { m.held.Add(-n) }

// firstBodyBytes is the size of the buffer for a body before its first byte arrives,
// whatever Content-Length says.
const firstBodyBytes = 16 << 10

// readAll reads a body of the given length, which is negative if it is not known. It
// reserves the memory as the body arrives.
func (p *proxyRequest) readAll(from io.Reader, length int64) ([]byte, error) {
	body, err := p.grow(nil, length)
	for err == nil {
		if len(body) == cap(body) {
			if body, err = p.grow(body, length); err != nil {
				break
			}
		}
		var n int
		n, err = from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
	}
	if errors.Is(err, io.EOF) {
		return body, nil
	}
	return nil, err
}

// firstResponseBytes is the size of the buffer for a response before its first byte arrives.
const firstResponseBytes = 4 << 10

// bufferResponse reads the body of a response into memory that is counted with the bodies of
// requests, and returns how much of that it holds. It stops before the end, with whole false, at
// maxBufferedBytes and where the memory is short: what is left then waits at the replica until the
// caller has read.
func (p *proxyRequest) bufferResponse(from io.Reader) (body []byte, held int64, whole bool, err error) {
	for len(body) <= maxBufferedBytes {
		if len(body) == cap(body) {
			size := min(max(firstResponseBytes, 2*cap(body)), maxBufferedBytes+1)
			more := int64(size - cap(body))
			// The first buffer is part of what each connection may hold.
			if cap(body) > 0 && !p.s.bodies.reserve(p.reserved+held, more) {
				return body, held, false, nil
			}
			if cap(body) > 0 {
				held += more
			}
			grown := make([]byte, len(body), size)
			copy(grown, body)
			body = grown
		}
		n, err := from.Read(body[len(body):cap(body)])
		body = body[:len(body)+n]
		if errors.Is(err, io.EOF) {
			return body, held, len(body) <= maxBufferedBytes, nil
		}
		if err != nil {
			return nil, held, false, err
		}
	}
	return body, held, false, nil
}

// grow returns the body with a larger buffer. For a known length, that is at most one byte
// more, with which the reader finds the end.
func (p *proxyRequest) grow(body []byte, length int64) ([]byte, error) {
	size := max(firstBodyBytes, 2*int64(cap(body)))
	if length >= int64(len(body)) {
		size = min(size, length+1)
	}
	more := size - int64(cap(body))
	if !p.s.bodies.reserve(p.reserved, more) {
		return nil, errMemoryFull
	}
	p.reserved += more
	out := make([]byte, len(body), size)
	copy(out, body)
	return out, nil
}
