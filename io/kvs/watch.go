package kvs

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvwire"
)

// errWatchIdle ends a watch without a message for longer than WatchIdleTimeout.
const errWatchIdle = errors.ConstError("no message of the watch within WatchIdleTimeout")

// errMessageTooLarge ends a watch with a message larger than MaxResponseBytes.
const errMessageTooLarge = errors.ConstError("message exceeds MaxResponseBytes")

func (g *Gateway) watch(ctx context.Context, prefix string, from Revision, fn func(Batch) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	idleTimer := time.AfterFunc(g.config.WatchIdleTimeout, func() { cancel(errWatchIdle) })
	defer idleTimer.Stop()
	in := kvwire.WatchRequest{Create: kvwire.WatchCreate{
		Key: rangeStart(prefix), RangeEnd: kvwire.PrefixEnd(prefix),
		StartRevision: int64(from), ProgressNotify: true,
	}}
	resp, err := g.open(ctx, kvwire.PathWatch, in)
	if err != nil {
		return errors.Annotate(watchCause(ctx, err), "Gateway.watch")
	}
	defer resp.Body.Close()
	limited := &messageLimiter{reader: resp.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.left = g.config.MaxResponseBytes
		var msg kvwire.WatchMessage
		if err := decoder.Decode(&msg); err != nil {
			return errors.Annotate(watchCause(ctx, err), "Gateway.watch")
		}
		// The time that fn takes doesn't count as idle.
		idleTimer.Stop()
		if err := handleMessage(msg, fn); err != nil {
			return errors.Annotate(err, "Gateway.watch")
		}
		idleTimer.Reset(g.config.WatchIdleTimeout)
	}
}

// watchCause returns the cause of the context's end if there is one, else err. Either
// is an ErrUnavailable.
func watchCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.WithType(cause, ErrUnavailable)
	}
	return errors.WithType(err, ErrUnavailable)
}

func handleMessage(msg kvwire.WatchMessage, fn func(Batch) error) error {
	switch r := msg.Result; {
	case msg.Error != nil:
		return errors.Annotate(ErrUnavailable, msg.Error.Message)
	case r.CompactRevision > 0:
		return errors.Annotatef(ErrCompacted, "up to %d", r.CompactRevision)
	case r.Canceled:
		return errors.Annotate(ErrUnavailable, r.CancelReason)
	case r.Created && len(r.Events) == 0:
		// Not passed on as a progress notice, because its revision may exceed those of
		// events still to come.
		return nil
	default:
		return errors.Trace(fn(toBatch(r)))
	}
}

func toBatch(r kvwire.WatchResponse) Batch {
	batch := Batch{Revision: Revision(r.Header.Revision)}
	for _, e := range r.Events {
		kind := EventPut
		if e.Type == kvwire.TypeDelete {
			kind = EventDelete
		}
		batch.Events = append(batch.Events, Event{Kind: kind, Entry: toEntry(e.Kv)})
	}
	return batch
}

// messageLimiter limits the number of bytes read for one message.
type messageLimiter struct {
	reader io.Reader
	left   int64
}

// Read reads up to the limit and then fails with errMessageTooLarge.
func (m *messageLimiter) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errMessageTooLarge
	}
	n, err := m.reader.Read(p)
	m.left -= int64(n)
	return n, err
}
