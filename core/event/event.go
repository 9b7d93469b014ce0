// Package event finds the boundaries and ids of server-sent events in a byte stream
// as it arrives, so that a stream is forwarded, and resumed on another connection,
// only between events.
//
// # Usage
//
//	prefix := event.Scan(buffered, last)
//	forward(buffered[:prefix.Bytes]) // complete events; the rest needs more bytes
//	last = prefix.LastID
package event

import (
	"bytes"
	"strconv"
)

// Prefix describes the leading bytes of some data that consist of complete events.
type Prefix struct {
	// Bytes is the length of the prefix.
	Bytes int
	// Events is the number of events in the prefix. Comments and empty lines are none.
	Events int
	// LastID is the id of the last event with an id, or the id given to Scan if none
	// of the events has one.
	LastID string
	// EndsWithoutID is true if the last event has no id: the stream cannot be resumed
	// after it.
	EndsWithoutID bool
	// OutOfOrder is true if the prefix ends before a complete event whose numeric id
	// is not greater than LastID.
	OutOfOrder bool
}

// Scan returns the prefix of data that consists of complete events in order, where
// last is the id of the previous event. Lines end in LF or CRLF.
func Scan(data []byte, last string) Prefix {
	prefix := Prefix{LastID: last}
	id, lines := "", 0
	for start := 0; ; {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			return prefix
		}
		line := bytes.TrimSuffix(data[start:start+n], []byte("\r"))
		start += n + 1
		if len(line) > 0 {
			if line[0] != ':' {
				lines++
			}
			if value, ok := field(line, "id"); ok {
				id = value
			}
			continue
		}
		if id != "" {
			if !follows(prefix.LastID, id) {
				prefix.OutOfOrder = true
				return prefix
			}
			prefix.LastID = id
		}
		prefix.Bytes = start
		if lines > 0 {
			prefix.Events++
			prefix.EndsWithoutID = id == ""
		}
		id, lines = "", 0
	}
}

// field returns the value of a line if it is a field with the name.
func field(line []byte, name string) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimPrefix(value, []byte(" "))), true
}

// follows reports whether an event with the id may come after one with the id last.
// Numeric ids must increase; other ids are not compared.
func follows(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
