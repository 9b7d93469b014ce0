package main

import (
	"bufio"
	"fmt"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// record is the file with what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	started time.Time
	file    *os.File
	out     *bufio.Writer
}

func newRecord(dir string) (*record, error) {
	f, err := os.Create(filepath.Join(dir, "record.txt"))
	if err != nil {
		return nil, err
	}
	return &record{started: time.Now(), file: f, out: bufio.NewWriter(f)}, nil
}

func (r *record) add(format string, args ...any) { r.at(time.Now(), format, args...) }

// at adds a line about a moment that may have passed.
func (r *record) at(when time.Time, format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f s  ", when.Sub(r.started).Seconds())
	fmt.Fprintf(r.out, format, args...)
	fmt.Fprintln(r.out)
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
