// Package event finds the boundaries and ids of server-sent events in bytes as
// they arrive, so that a stream is only ever passed on, and joined, between
// events.
//
// # Usage
//
//	cut := event.Scan(buffered)
//	pass(buffered[:cut.Bytes]) // whole events; the rest waits for more bytes
//	last = cmp.Or(cut.LastID, last)
package event

import (
	"bytes"
	"strconv"
)

// Cut is the part of some bytes that is whole events.
type Cut struct {
	// Bytes is the length of the part.
	Bytes int
	// Events is how many events it holds.
	Events int
	// FirstID and LastID are the ids of its first and last event that has one.
	FirstID, LastID string
}

// Scan returns the part of data that is whole events. Lines end in LF or CRLF.
func Scan(data []byte) Cut {
	var cut Cut
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
		cut.Bytes = start
		if lines > 0 {
			cut.Events++
		}
		if id != "" {
			cut.LastID = id
			if cut.FirstID == "" {
				cut.FirstID = id
			}
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

// Follows reports whether an event with the id may come after one with the id
// last. Ids that are numbers have to grow; others are not compared.
func Follows(last, id string) bool {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return errA != nil || errB != nil || b > a
}
