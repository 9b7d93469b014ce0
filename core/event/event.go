// Package event finds the boundaries and ids of server-sent events in a byte stream
// as it arrives, so that a stream is forwarded, and resumed on another connection,
// only between events.
//
// # Usage
//
//	prefix := event.Scan(buffered, order)
//	forward(buffered[:prefix.Bytes]) // complete events; the rest needs more bytes
//	order.Last = prefix.LastID
package event

import (
	"bytes"
	"strconv"
)

// Order is what the ids of the next events have to be.
type Order struct {
	// Last is the id of the previous event; empty if there is none.
	Last string
	// Resumed is true if the data begins a run that goes on after Last: its first event has to
	// have an id.
	Resumed bool
	// Dense is true if numeric ids follow each other without gaps.
	Dense bool
}

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
	// OutOfOrder is true if the prefix ends before a complete event that must not follow: its
	// numeric id is not greater than LastID or, if ids are dense, not the next one, or a resumed
	// run begins with an event without an id.
	OutOfOrder bool
	// Steps counts the pairs of numeric ids of which the second is the next number, Gaps the
	// others.
	Steps, Gaps int
}

// Scan returns the prefix of data that consists of complete events in order. Lines end in LF or
// CRLF.
func Scan(data []byte, order Order) Prefix {
	prefix, resumed := Prefix{LastID: order.Last}, order.Resumed
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
		if id == "" && lines > 0 && resumed || id != "" && !follows(prefix.LastID, id, order.Dense) {
			prefix.OutOfOrder = true
			return prefix
		}
		if id != "" {
			prefix.countStep(prefix.LastID, id)
			prefix.LastID, resumed = id, false
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
// Numeric ids must increase, dense ones by one; other ids are not compared.
func follows(last, id string, dense bool) bool {
	a, b, numeric := numbers(last, id)
	return !numeric || b > a && (!dense || b == a+1)
}

// countStep counts the step from one id to the next.
func (p *Prefix) countStep(last, id string) {
	switch a, b, numeric := numbers(last, id); {
	case !numeric:
	case b == a+1:
		p.Steps++
	default:
		p.Gaps++
	}
}

// numbers returns two ids as numbers, and whether both are.
func numbers(last, id string) (a, b uint64, numeric bool) {
	a, errA := strconv.ParseUint(last, 10, 64)
	b, errB := strconv.ParseUint(id, 10, 64)
	return a, b, errA == nil && errB == nil
}
