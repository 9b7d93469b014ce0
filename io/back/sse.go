package back

import (
	"bufio"
	"bytes"
	"io"
)

// doneData is the data of the event that ends a stream.
const doneData = "[DONE]"

// initialBufferBytes is the initial size of a stream's buffer.
const initialBufferBytes = 4 << 10

// newEventScanner returns a scanner whose tokens are complete events, each including
// the empty line that ends it. An incomplete event at the end of the input is dropped.
func newEventScanner(r io.Reader, maxEvent int) *bufio.Scanner {
	s := bufio.NewScanner(r)
	s.Buffer(make([]byte, 0, min(initialBufferBytes, maxEvent)), maxEvent)
	s.Split(splitEvent)
	return s
}

// splitEvent is a bufio.SplitFunc for server-sent events. Lines end in LF or CRLF.
func splitEvent(data []byte, atEOF bool) (advance int, token []byte, err error) {
	start := 0
	for {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			break
		}
		line := bytes.TrimSuffix(data[start:start+n], []byte("\r"))
		start += n + 1
		if len(line) == 0 {
			return start, data[:start], nil
		}
	}
	if atEOF {
		return len(data), nil, nil
	}
	return 0, nil, nil
}

// parseEvent extracts the data of an event.
func parseEvent(raw []byte) Event {
	e := Event{Raw: raw}
	for line := range bytes.Lines(raw) {
		value, ok := bytes.CutPrefix(bytes.TrimRight(line, "\r\n"), []byte("data:"))
		if !ok {
			continue
		}
		value = bytes.TrimPrefix(value, []byte(" "))
		if e.Data == nil {
			e.Data = value
			continue
		}
		e.Data = bytes.Join([][]byte{e.Data, value}, []byte("\n"))
	}
	e.Done = string(bytes.TrimSpace(e.Data)) == doneData
	return e
}
