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
	// streamBuffer is the size of a stream's buffer, in bytes; the events of the
	// known engines are far smaller.
	streamBuffer = 4 << 10
	// maxEvent bounds one event, in bytes.
	maxEvent = 1 << 20
)

// buffers holds the buffers of streams that have ended.
var buffers = sync.Pool{New: func() any { b := make([]byte, 0, streamBuffer); return &b }}

// stream passes an answer on event by event, whole events only: another replica
// can go on after one, but not in the middle of it.
func (p *pass) stream(x *back.Exchange, e *attemptEnd) error {
	if p.route.Repeatable() {
		x.SetProgressTimeout(p.gapLimit())
	}
	kept, ok := buffers.Get().(*[]byte)
	if !ok {
		return errors.New("a buffer of another type")
	}
	buf := (*kept)[:0]
	defer func() {
		*kept = buf[:0]
		buffers.Put(kept)
	}()
	for {
		if len(buf) == cap(buf) {
			if cap(buf) >= maxEvent {
				return errTooLarge
			}
			buf = append(buf, 0)[:len(buf)]
		}
		n, err := x.Read(buf[len(buf):cap(buf)])
		buf = buf[:len(buf)+n]
		cut := event.Scan(buf, p.lastEvent)
		if cut.Bytes > 0 {
			if err := p.passEvents(x, e, buf[:cut.Bytes], cut); err != nil {
				return err
			}
			buf = buf[:copy(buf, buf[cut.Bytes:])]
		}
		if cut.OutOfOrder {
			return errors.Annotatef(errOrder, "after %q", p.lastEvent)
		}
		if errors.Is(err, io.EOF) {
			if len(buf) > 0 {
				return errTorn
			}
			return p.endStream(x, e)
		}
		if err != nil {
			return errors.Annotate(err, "reading the stream")
		}
	}
}

// passEvents passes some whole events on.
func (p *pass) passEvents(x *back.Exchange, e *attemptEnd, data []byte, cut event.Prefix) error {
	p.startStream(x)
	x.PauseTimeout()
	defer x.ResumeTimeout()
	p.events += cut.Events
	p.lastEvent = cut.LastID
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

// startStream writes the head of the answer with its first events: until then
// another replica can take over unseen. A stream that goes on keeps the head of
// its first replica.
func (p *pass) startStream(x *back.Exchange) {
	if p.started {
		return
	}
	p.started = true
	p.firstAt = p.s.c.Now()
	p.head(x.Status, x.Header)
}

// endStream ends an answer that came to its proper end.
func (p *pass) endStream(x *back.Exchange, e *attemptEnd) error {
	p.startStream(x)
	e.done = true
	return nil
}
