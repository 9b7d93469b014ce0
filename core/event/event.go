// Package event finds the boundaries and ids of server-sent events in bytes as
// they arrive, so that a stream is only ever passed on, and joined, between
// events.
//
// # Usage
//
//	cut := event.Scan(buffered, last)
//	pass(buffered[:cut.Bytes]) // whole events; the rest waits for more bytes
//	last = cut.LastID
package event

import (
	"bytes"
	"strconv"
)

// Prefix is the part of some bytes that is whole events.
type Prefix struct {
	// Bytes is the length of the part.
	Bytes int
	// Events is how many events it holds.
	Events int
	// LastID is the id of its last event that has one, else the one before.
	LastID string
	// OutOfOrder is true where the part ends before an event whose id may not come
	// next.
	OutOfOrder bool
}

// Scan returns the part of data that is whole events in order, where last is the
// id of the event before. Lines end in LF or CRLF.
func Scan(data []byte, last string) Prefix {
	cut := Prefix{LastID: last}
	id, lines := "", 0
	for start := 0; ; {
		n := bytes.IndexByte(data[start:], '\n')
		if n < 0 {
			return cut
		}
		line := bytes.TrimSuffix(data[start:start+n], []byte("\r"))
		start += n + 1
		if len(line) > 0 {
			lines++
			if value, ok := field(line, "id"); ok {
				id = value
			}
			continue
		}
		if id != "" {
			if !follows(cut.LastID, id) {
				cut.OutOfOrder = true
				return cut
			}
			cut.LastID = id
		}
		cut.Bytes = start
		if lines > 0 {
			cut.Events++
		}
		id, lines = "", 0
	}
}

func field(line []byte, name string) (string, bool) {
	value, ok := bytes.CutPrefix(line, []byte(name+":"))
	if !ok {
		return "", false
	}
	return string(bytes.TrimPrefix(value, []byte(" "))), true
}

// follows reports whether an event with the id may come after one with the id
// last. Ids that are numbers have to grow; others are not compared.
func follows(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
