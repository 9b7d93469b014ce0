// Package logw writes log lines without ever making the logger wait: lines go
// through a bounded queue, and what does not fit is dropped and counted.
//
// # Usage
//
//	w := logw.New(logw.Config{To: os.Stdout})
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

// defaultLines bounds the lines that wait to be written: some seconds of a busy
// VM's log, about two megabytes.
const defaultLines = 4096

// Config configures a Writer.
type Config struct {
	Output io.Writer
	// QueueSize bounds the lines that wait to be written.
	QueueSize int
}

// Writer is a queue of lines.
type Writer struct {
	to      io.Writer
	lines   chan []byte
	dropped atomic.Int64
	failed  atomic.Int64
}

// New returns a writer; nothing is written until Run.
func New(c Config) *Writer {
	return &Writer{to: c.Output, lines: make(chan []byte, cmp.Or(c.QueueSize, defaultLines))}
}

// Write queues a line or drops it. It never fails.
func (w *Writer) Write(line []byte) (int, error) {
	select {
	case w.lines <- bytes.Clone(line):
	default:
		w.dropped.Add(1)
	}
	return len(line), nil
}

// Dropped returns how many lines were dropped, Failed how many writes failed.
func (w *Writer) Dropped() int64 { return w.dropped.Load() }

// Failed returns how many writes failed.
func (w *Writer) Failed() int64 { return w.failed.Load() }

// Run writes lines until ctx ends, and then those that wait.
func (w *Writer) Run(ctx context.Context) error {
	var reported int64
	for {
		select {
		case line := <-w.lines:
			w.write(line)
			reported = w.report(reported)
		case <-ctx.Done():
			for {
				select {
				case line := <-w.lines:
					w.write(line)
				default:
					w.report(reported)
					return nil
				}
			}
		}
	}
}

// batchBytes bounds what is written at one time.
const batchBytes = 16 << 10

// write writes a line together with others that wait already: one call for many
// lines costs less than one for each.
func (w *Writer) write(line []byte) {
	for len(line) < batchBytes {
		select {
		case next := <-w.lines:
			line = append(line, next...)
			continue
		default:
		}
		break
	}
	if _, err := w.to.Write(line); err != nil {
		w.failed.Add(1)
	}
}

// report writes how many lines were dropped, once the queue has room again.
func (w *Writer) report(reported int64) int64 {
	dropped := w.dropped.Load()
	if dropped == reported || len(w.lines) > 0 {
		return reported
	}
	w.write(fmt.Appendf(nil, "{\"event\":\"logDropped\",\"lines\":%d,\"level\":\"warning\"}\n", dropped-reported))
	return dropped
}
