// Package logw writes log lines without blocking the logger: lines go through a bounded
// queue, and lines that do not fit are dropped and counted.
//
// # Usage
//
//	w := logw.New(logw.Config{Output: os.Stdout})
//	log.SetOutput(w)
//	go w.Run(ctx) // returns after the last line is written
//	w.Dropped()
package logw

import (
	"bytes"
	"cmp"
	"context"
	"fmt"
	"io"
	"sync/atomic"
)

// defaultQueueSize is enough for some seconds of a busy VM's log, about two megabytes.
const defaultQueueSize = 4096

// Config configures a Writer.
type Config struct {
	// Output gets the lines.
	Output io.Writer
	// QueueSize is the maximum number of queued lines.
	QueueSize int
}

// Writer queues lines and writes them to Config.Output.
type Writer struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
}

// New returns a writer. Nothing is written until Run is called.
func New(c Config) *Writer {
	return &Writer{output: c.Output, lines: make(chan []byte, cmp.Or(c.QueueSize, defaultQueueSize))}
}

// Write queues a copy of the line, or drops the line if the queue is full. It never
// returns an error.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns the number of dropped lines.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failed returns the number of failed writes.
func (w *Writer) Failed() int64 { return w.failed.Load() }

// Run writes queued lines until ctx is canceled, and then those still in the queue.
func (w *Writer) Run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
			reported = w.reportDropped(reported)
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					w.reportDropped(reported)
					return nil
				}
			}
		}
	}
}

// maxBatchBytes is the size from which no further lines are added to one write.
const maxBatchBytes = 16 << 10

// write writes a line together with others from the queue, because one call for many
// lines costs less than one call for each.
func (w *Writer) write(line []byte) {
	for len(line) < maxBatchBytes {
		select {
		case next := <-w.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := w.output.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// reportDropped writes the number of lines dropped since the last report, as soon as
// the queue is empty. It returns the number of lines reported so far.
func (w *Writer) reportDropped(reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped == reported || len(w.lines) > 0 {
		return reported
	}
	w.write(fmt.Appendf(nil, "{\"event\":\"logDropped\",\"lines\":%d,\"level\":\"warning\"}\n", dropped-reported))
	return dropped
}
