package kvs

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/juju/errors"

	"gentianwell/io/kvwire"
)

// errSilent ends a watch that has brought nothing for too long.
const errSilent = errors.ConstError("watch is silent")

// errMessageSize ends a watch whose message exceeds the bound.
const errMessageSize = errors.ConstError("message exceeds the response bound")

func (g *Gateway) watch(ctx context.Context, prefix string, from Revision, fn func(Batch) error) error {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	silence := time.AfterFunc(g.config.WatchIdleTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	in := kvwire.WatchRequest{Create: kvwire.WatchCreate{
		Key: rangeStart(prefix), RangeEnd: kvwire.PrefixEnd(prefix),
		StartRevision: int64(from), ProgressNotify: true,
	}}
	resp, err := g.open(ctx, kvwire.PathWatch, in)
	if err != nil {
		return errors.Annotate(watchCause(ctx, err), "Gateway.watch")
	}
	defer resp.Body.Close()
	limited := &messageReader{reader: resp.Body}
	decoder := json.NewDecoder(limited)
	for {
		limited.left = g.config.MaxResponseBytes
		var msg kvwire.WatchMessage
		if err := decoder.Decode(&msg); err != nil {
			return errors.Annotate(watchCause(ctx, err), "Gateway.watch")
		}
		// The time that fn takes isn't the watch's silence.
		silence.Stop()
		if err := deliver(msg, fn); err != nil {
			return errors.Annotate(err, "Gateway.watch")
		}
		silence.Reset(g.config.WatchIdleTimeout)
	}
}

// watchCause prefers the reason for which the watch was ended here.
func watchCause(ctx context.Context, err error) error {
	if cause := context.Cause(ctx); cause != nil {
		return errors.WithType(cause, ErrUnavailable)
	}
	return errors.WithType(err, ErrUnavailable)
}

func deliver(msg kvwire.WatchMessage, fn func(Batch) error) error {
	switch r := msg.Result; {
	case msg.Error != nil:
		return errors.Annotate(ErrUnavailable, msg.Error.Message)
	case r.CompactRevision > 0:
		return errors.Annotatef(ErrCompacted, "up to %d", r.CompactRevision)
	case r.Canceled:
		return errors.Annotate(ErrUnavailable, r.CancelReason)
	case r.Created && len(r.Events) == 0:
		// Its revision may exceed that of events still to come.
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

// messageReader bounds what is read for one message.
type messageReader struct {
	reader io.Reader
	left   int64
}

// Read reads until the bound is used up.
func (m *messageReader) Read(p []byte) (int, error) {
	if m.left <= 0 {
		return 0, errMessageSize
	}
	n, err := m.reader.Read(p)
	m.left -= int64(n)
	return n, err
}
