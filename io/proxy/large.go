package proxy

import (
	"io"

	"github.com/juju/errors"

	"gentianwell/io/back"
)

// largeCopyBytes is the size of the buffer with which a large response is forwarded.
const largeCopyBytes = 32 << 10

// forwardLarge forwards a response whose body is too large to be buffered, as it comes;
// begun is the part that was read. The body may have no end: then the deadline ends it.
// If it breaks off, so does the response to the caller.
func (p *proxyRequest) forwardLarge(x *back.Exchange, e *attemptResult, begun []byte) error {
	if !p.takeover.deliver() {
		return errGivenUp
	}
	p.startResponse(x)
	buf := make([]byte, largeCopyBytes)
	part := begun
	for {
		if len(part) > 0 {
			x.PauseTimeout()
			_, err := p.w.Write(part)
			x.ResumeTimeout()
			if err != nil {
				e.callerGone = true
				return errors.Annotate(err, "writing to the caller")
			}
		}
		n, err := x.Read(buf)
		part = buf[:n]
		if errors.Is(err, io.EOF) && n == 0 {
			if p.endedByCrash(x, e) {
				return errCrashed
			}
			e.done = true
			return nil
		}
		if err != nil && !errors.Is(err, io.EOF) {
			return errors.Annotate(err, "reading the response body")
		}
	}
}
