package proxy

import (
	"io"
	"net/http"
	"sync"

	"github.com/juju/errors"

	"gentianwell/core/event"
	"gentianwell/io/back"
)

const (
	// streamBufferBytes is the initial size of a stream's buffer; the events of the
	// known engines are far smaller.
	streamBufferBytes = 4 << 10
	// maxEventBytes limits the size of one event, maxPooledBytes that of a buffer that is
	// kept for reuse.
	maxEventBytes  = 256 << 10
	maxPooledBytes = 64 << 10
)

// streamBuffers holds the buffers of ended streams for reuse.
var streamBuffers = sync.Pool{New: func() any { b := make([]byte, 0, streamBufferBytes); return &b }}

// forwardStream forwards a stream event by event, only complete events: another
// replica can resume the stream after an event, but not in the middle of one.
func (p *proxyRequest) forwardStream(x *back.Exchange, e *attemptResult) error {
	if p.route.Repeatable() {
		x.SetProgressTimeout(p.gapTimeout())
	}
	// Another replica may resume the stream and make it shorter or longer.
	x.Header.Del("Content-Length")
	pooled, ok := streamBuffers.Get().(*[]byte)
	if !ok {
		return errors.New("streamBuffers contains a value that is not a *[]byte")
	}
	buf := (*pooled)[:0]
	defer func() {
		if cap(buf) <= maxPooledBytes {
			*pooled = buf[:0]
			streamBuffers.Put(pooled)
		}
	}()
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEventBytes {
				return errTooLarge
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		prefix := event.Scan(buf, p.order(e))
		if prefix.Events > 0 {
			p.noteRun()
		}
		if prefix.Bytes > 0 {
			if err := p.writeEvents(x, e, buf[:prefix.Bytes], prefix); err != nil {
				return err
			}
			buf = buf[:copy(buf, buf[prefix.Bytes:])]
		}
		if prefix.OutOfOrder {
			return errors.Annotatef(errOutOfOrder, "after %q", p.lastEvent)
		}
		if errors.Is(err, io.EOF) {
			if len(buf) > 0 {
				return errPartialEvent
			}
			// A replica that crashes after the header looks the same.
			if e.events == 0 && !x.HasDelimitedBody() {
				return errNoEvent
			}
			if p.endedByCrash(x, e) {
				return errCrashed
			}
			return p.finishStream(x, e)
		}
		if err != nil {
			return errors.Annotate(err, "reading the stream")
		}
	}
}

// writeEvents writes complete events to the caller.
func (p *proxyRequest) writeEvents(x *back.Exchange, e *attemptResult, data []byte, prefix event.Prefix) error {
	if prefix.Events > 0 {
		p.endsWithoutID = prefix.EndsWithoutID
	}
	if p.endsWithoutID && !p.takeover.deliver() {
		return errGivenUp
	}
	x.PauseTimeout()
	defer x.ResumeTimeout()
	if !p.responseStarted {
		if !p.awaitRecord(e.version) {
			return errUnrecorded
		}
		if !p.takeover.begin(e.version) {
			return errGivenUp
		}
	}
	if prefix.Events > 0 {
		p.waited(e, true)
	}
	p.startResponse(x)
	p.events += prefix.Events
	if prefix.Events > 0 {
		e.lastEventAt = p.s.c.Now()
		if e.events == 0 {
			e.firstEventAt = e.lastEventAt
		}
	}
	e.events += prefix.Events
	p.lastEvent = prefix.LastID
	p.countSteps(prefix, e)
	if _, err := p.w.Write(data); err != nil {
		e.callerGone = true
		return errors.Annotate(err, "writing to the caller")
	}
	if err := http.NewResponseController(p.w).Flush(); err != nil {
		e.callerGone = true
		return errors.Annotate(err, "writing to the caller")
	}
	return nil
}

// startResponse writes the header of the response, together with the first events:
// until then another replica can take over without the caller noticing. A resumed
// stream keeps the header of its first replica.
func (p *proxyRequest) startResponse(x *back.Exchange) {
	if p.responseStarted {
		return
	}
	p.responseStarted = true
	p.firstAt = p.s.c.Now()
	p.writeHeader(x.Status, x.Header)
}

// finishStream ends a response whose stream came to its proper end.
func (p *proxyRequest) finishStream(x *back.Exchange, e *attemptResult) error {
	p.startResponse(x)
	e.done = true
	return nil
}

// waited records that the attempt does not wait for the first part of its answer any more.
func (p *proxyRequest) waited(e *attemptResult, answered bool) {
	if e.waits {
		e.waits = false
		p.s.c.Router.Waited(p.s.c.Now(), p.call, e.started, p.route.LatencyTarget, answered)
	}
}
