package back

import (
	"io"
	"mime"
	"net/http"
	"time"

	"github.com/juju/errors"
)

func (a *attempt) readStream(res *http.Response) error {
	a.result.Streamed = true
	events := newEventScanner(res.Body, a.client.config.MaxEvent)
	done := false
	for events.Scan() {
		e := parseEvent(events.Bytes())
		if done {
			continue
		}
		if err := a.deliver(e); err != nil {
			return errors.Trace(err)
		}
		if e.Done {
			done = true
			a.watchdog.drain(drainTimeout)
		}
	}
	if done {
		return nil
	}
	if err := events.Err(); err != nil {
		return errors.Trace(err)
	}
	return errTruncated
}

func (a *attempt) deliver(e Event) error {
	if a.result.Events == 0 {
		a.result.FirstLatency = time.Since(a.started)
		a.watchdog.setTimeout(a.request.ProgressTimeout)
	}
	if !a.watchdog.pause() {
		return errSilent
	}
	err := a.sink(e)
	a.watchdog.resume()
	if err != nil {
		a.sinkErr = err
		return errors.Trace(err)
	}
	a.result.Events++
	return nil
}

func (a *attempt) readBody(res *http.Response) error {
	a.result.FirstLatency = time.Since(a.started)
	a.watchdog.setTimeout(a.request.ProgressTimeout)
	counted := &countedBody{Reader: io.LimitReader(res.Body, a.client.config.MaxBody+1), memory: &a.client.bodies}
	defer counted.release()
	body, err := io.ReadAll(counted)
	a.result.Body = body
	switch {
	case errors.Is(err, errMemoryFull):
		a.result.Body = nil
		return errors.Trace(err)
	case err != nil:
		return errors.Trace(err)
	case int64(len(body)) > a.client.config.MaxBody:
		a.result.Body = nil
		return errTooLarge
	case !hasDelimitedBody(res):
		return errUnknownLength
	}
	return nil
}

// hasDelimitedBody reports whether the end of the body can be distinguished from a lost
// connection.
func hasDelimitedBody(res *http.Response) bool {
	return res.ContentLength >= 0 || len(res.TransferEncoding) > 0 || res.Body == http.NoBody ||
		res.Request.Method == http.MethodHead
}

func isStream(res *http.Response) bool {
	kind, _, err := mime.ParseMediaType(res.Header.Get("Content-Type"))
	return err == nil && kind == "text/event-stream"
}
