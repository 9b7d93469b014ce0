package frame

import (
	"bytes"
	"strconv"
)

// state is the part of a request or response that a scanner expects next.
type state string

const (
	// stateStart is between two requests, where empty lines are allowed, or in the first line of a
	// response.
	stateStart       state = ""
	stateRequestLine state = "requestLine"
	stateHeader      state = "header"
	// stateBody is a body with a Content-Length.
	stateBody      state = "body"
	stateChunkSize state = "chunkSize"
	// stateChunk is the data of a chunk and the line break after it.
	stateChunk   state = "chunk"
	stateTrailer state = "trailer"
	// stateUnbounded is a body that ends with the connection.
	stateUnbounded state = "unbounded"
	// stateLost is for good: the connection has to be closed.
	stateLost state = "lost"
)

// maxLine is how many bytes of a line are kept. It has to hold a name and a number.
const maxLine = 128

// chunkLineBreak is the length of the line break after the data of a chunk.
const chunkLineBreak = 2

// Scanner follows the requests on one connection. The zero value is ready for use.
type Scanner struct {
	state state
	// line holds the first bytes of the current line, in stateRequestLine the last ones;
	// lineBytes counts all of them.
	line      []byte
	lineBytes int
	// headerBytes is the size of the current header so far, in stateLost the number of
	// bytes since.
	headerBytes int
	header      header
	// left is the number of bytes that remain of a body or chunk.
	left int64
	// faults are those of the requests whose header has ended and for which Next was not
	// called, the oldest first. A reader that buffers few bytes ahead keeps it short.
	faults []Fault
}

// Scan reads the next bytes of the connection. It returns the size, so far, of the largest
// header that they are part of. After bytes that cannot be followed, all bytes count.
func (s *Scanner) Scan(data []byte) int {
	largest := 0
	for len(data) > 0 {
		size := 0
		data, size = s.step(data)
		largest = max(largest, size)
	}
	return largest
}

// Fault returns that of the oldest request for which Next was not called. It may be called
// once the request's header was read.
func (s *Scanner) Fault() Fault {
	if len(s.faults) == 0 {
		return FaultNotUnderstood
	}
	return s.faults[0]
}

// Next records that the response to the oldest request was sent.
func (s *Scanner) Next() {
	if len(s.faults) > 0 {
		s.faults = s.faults[1:]
	}
}

// step reads a part of the data and returns the rest, and the size of the header that the
// part belongs to; zero if it belongs to none.
func (s *Scanner) step(data []byte) ([]byte, int) {
	switch s.state {
	case stateStart:
		rest := bytes.TrimLeft(data, "\r\n")
		s.headerBytes += len(data) - len(rest)
		if len(rest) > 0 {
			s.state = stateRequestLine
		}
		return rest, s.headerBytes
	case stateBody, stateChunk:
		n := min(s.left, int64(len(data)))
		if s.left -= n; s.left == 0 {
			s.endData()
		}
		return data[n:], 0
	case stateLost:
		s.headerBytes += len(data)
		return nil, s.headerBytes
	}
	part, rest, ended := bytes.Cut(data, []byte("\n"))
	s.appendToLine(part)
	size := 0
	if s.state == stateRequestLine || s.state == stateHeader {
		s.headerBytes += len(data) - len(rest)
		size = s.headerBytes
	}
	if ended {
		s.endLine()
	}
	return rest, size
}

func (s *Scanner) appendToLine(part []byte) {
	s.lineBytes += len(part)
	if s.state == stateRequestLine {
		s.line = append(s.line, part[max(0, len(part)-maxLine):]...)
		s.line = append(s.line[:0], s.line[max(0, len(s.line)-maxLine):]...)
		return
	}
	s.line = append(s.line, part[:min(len(part), maxLine-len(s.line))]...)
}

// endLine reads a complete line.
func (s *Scanner) endLine() {
	line, cut := bytes.TrimSuffix(s.line, []byte("\r")), s.lineBytes > len(s.line)
	s.line, s.lineBytes = s.line[:0], 0
	switch s.state {
	case stateRequestLine:
		s.header.readRequestLine(line)
		s.state = stateHeader
	case stateHeader:
		if len(line) > 0 {
			s.header.readField(line, cut)
			return
		}
		s.endHeader()
	case stateChunkSize:
		s.readChunkSize(line)
	case stateTrailer:
		if len(line) == 0 {
			s.state = stateStart
		}
	}
}

func (s *Scanner) endHeader() {
	fault := s.header.end()
	s.faults = append(s.faults, fault)
	s.headerBytes = 0
	switch {
	case fault != FaultNone:
		s.state = stateLost
	case s.header.chunked:
		s.state = stateChunkSize
	case s.header.length > 0:
		s.state, s.left = stateBody, s.header.length
	default:
		s.state = stateStart
	}
}

// readChunkSize reads the line before a chunk. Of a line that was cut only a chunk extension
// or spaces are missing, or it is not valid.
func (s *Scanner) readChunkSize(line []byte) {
	size, err := parseChunkSize(line)
	switch {
	case err != nil:
		s.state = stateLost
	case size == 0:
		s.state = stateTrailer
	default:
		s.state, s.left = stateChunk, size+chunkLineBreak
	}
}

// parseChunkSize parses the line before a chunk without its line break.
func parseChunkSize(line []byte) (int64, error) {
	digits, _, _ := bytes.Cut(line, []byte(";"))
	size, err := strconv.ParseUint(string(bytes.TrimRight(digits, " \t")), 16, 62)
	return int64(size), err
}

func (s *Scanner) endData() {
	if s.state == stateBody {
		s.state = stateStart
		return
	}
	s.state = stateChunkSize
}
