package frame

import (
	"bytes"
	"strconv"
)

// header is what the header of one request says about its length.
type header struct {
	oldVersion bool
	// length is the Content-Length; negative if there is none.
	length  int64
	chunked bool
	fault   Fault
}

// readRequestLine reads the version, which ends the line.
func (h *header) readRequestLine(line []byte) {
	*h = header{length: -1, oldVersion: bytes.HasSuffix(line, []byte(" HTTP/1.0"))}
}

// readField reads one field. The line may be the beginning of a longer one, which cut tells.
func (h *header) readField(line []byte, cut bool) {
	name, value, _ := bytes.Cut(line, []byte(":"))
	switch {
	case bytes.EqualFold(name, []byte("Transfer-Encoding")):
		h.chunked = true
	case bytes.EqualFold(name, []byte("Content-Length")):
		length, err := strconv.ParseUint(string(bytes.Trim(value, " \t")), 10, 63)
		switch {
		case err != nil || cut:
			h.fault = FaultNotUnderstood
		case h.length >= 0 && h.length != int64(length):
			h.fault = FaultBothLengths
		}
		h.length = int64(length)
	}
}

// end returns the fault of the complete header.
func (h *header) end() Fault {
	switch {
	case h.chunked && h.length >= 0:
		return FaultBothLengths
	case h.chunked && h.oldVersion:
		return FaultOldVersion
	}
	return h.fault
}
