package frame

import (
	"bytes"
	"net/http"
	"strconv"
)

// ResponseScanner follows the responses on one connection of a client, and finds those that a
// client must not take for valid although net/http does. The zero value is ready for use. It is
// not safe for concurrent use.
type ResponseScanner struct {
	state state
	fault Fault
	// method is that of the request that the current response answers; answered is true after its
	// response.
	method   string
	answered bool
	// line holds the first bytes of the current line, lineBytes counts all of them.
	line      []byte
	lineBytes int
	// nameBytes is the length of the name in a line of a header; negative before its colon.
	nameBytes int
	// carriageReturn is true after a carriage return, which a line feed must follow.
	carriageReturn bool
	status         int
	header         header
	// left is the number of bytes that remain of a body or chunk.
	left int64
}

// SetMethod sets the method of the request that the next response answers. Without it, the
// response may have a body.
func (s *ResponseScanner) SetMethod(method string) { s.method = method }

// Sent records that a part of a request was sent. After the first response on the connection,
// another one may only follow a request.
func (s *ResponseScanner) Sent() { s.answered = false }

// Scan reads the next bytes of the connection. It returns how many of them come before the first
// fault, and the fault. After a fault, no further bytes are valid.
func (s *ResponseScanner) Scan(data []byte) (int, Fault) {
	for i := 0; i < len(data); {
		switch s.state {
		case stateLost:
			return i, s.fault
		case stateUnbounded:
			return len(data), FaultNone
		case stateBody, stateChunk:
			n := min(s.left, int64(len(data)-i))
			i += int(n)
			if s.left -= n; s.left == 0 {
				s.endData()
			}
		default:
			if s.fault = s.readByte(data[i]); s.fault != FaultNone {
				s.state = stateLost
				return i, s.fault
			}
			i++
		}
	}
	return len(data), FaultNone
}

func (s *ResponseScanner) endData() {
	if s.state == stateBody {
		s.endResponse()
		return
	}
	s.state = stateChunkSize
}

func (s *ResponseScanner) endResponse() { s.state, s.answered = stateStart, true }

// readByte reads a byte of a line.
func (s *ResponseScanner) readByte(b byte) Fault {
	switch {
	case s.answered:
		return FaultUnexpected
	case b == '\n':
		line, cut := s.line, s.lineBytes > len(s.line)
		fault := s.endLine(line, cut)
		s.line, s.lineBytes, s.nameBytes, s.carriageReturn = s.line[:0], 0, -1, false
		return fault
	case s.carriageReturn:
		return s.lineFault()
	case b == '\r':
		s.carriageReturn = true
		return FaultNone
	}
	if fault := s.checkByte(b); fault != FaultNone {
		return fault
	}
	if len(s.line) < maxLine {
		s.line = append(s.line, b)
	}
	s.lineBytes++
	return FaultNone
}

// checkByte checks a byte of a line that is not part of its end.
func (s *ResponseScanner) checkByte(b byte) Fault {
	inHeader := s.state == stateHeader || s.state == stateTrailer
	switch {
	case s.state == stateStart && s.lineBytes < len(versionPrefix) && b != versionPrefix[s.lineBytes]:
		return FaultStatusLine
	case inHeader && s.lineBytes == 0 && (b == ' ' || b == '\t'):
		return FaultFolded
	case inHeader && s.nameBytes < 0 && b == ':' && s.lineBytes > 0:
		s.nameBytes = s.lineBytes
	case inHeader && s.nameBytes < 0 && !isTokenByte(b):
		return FaultFieldName
	case b != '\t' && (b < ' ' || b == 0x7f):
		return s.lineFault()
	}
	return FaultNone
}

// lineFault returns the fault of a byte that the current line must not contain.
func (s *ResponseScanner) lineFault() Fault {
	switch {
	case s.state == stateStart:
		return FaultStatusLine
	case s.state == stateChunkSize:
		return FaultNotUnderstood
	case s.nameBytes < 0:
		return FaultFieldName
	}
	return FaultFieldValue
}

// endLine reads a complete line, of which the end is missing if it was cut.
func (s *ResponseScanner) endLine(line []byte, cut bool) Fault {
	switch s.state {
	case stateStart:
		s.state = stateHeader
		return s.readStatusLine(line)
	case stateChunkSize:
		return s.readChunkSize(line)
	case stateTrailer:
		if len(line) == 0 {
			s.endResponse()
			return FaultNone
		}
	default:
		if len(line) == 0 {
			return s.endHeader()
		}
	}
	if s.nameBytes < 0 {
		return FaultFieldName
	}
	if s.state == stateHeader {
		return s.readField(line, cut)
	}
	return FaultNone
}

// versionPrefix is how every response of HTTP/1 begins.
const versionPrefix = "HTTP/1."

// readStatusLine reads the version and the status. The space after the status may be missing if
// there is no reason phrase.
func (s *ResponseScanner) readStatusLine(line []byte) Fault {
	const version, versionAndStatus = len("HTTP/1.1"), len("HTTP/1.1 200")
	if len(line) < versionAndStatus || !isDigit(line[version-1]) || line[version] != ' ' ||
		len(line) > versionAndStatus && line[versionAndStatus] != ' ' {
		return FaultStatusLine
	}
	status := line[version+1 : versionAndStatus]
	for _, b := range status {
		if !isDigit(b) {
			return FaultStatusLine
		}
	}
	s.status, _ = strconv.Atoi(string(status))
	if s.status < minStatus || s.status > maxStatus {
		return FaultStatus
	}
	s.header = header{length: -1, oldVersion: line[version-1] == '0'}
	return FaultNone
}

// The least and the greatest status of RFC 9110, section 15.
const minStatus, maxStatus = 100, 599

func (s *ResponseScanner) readField(line []byte, cut bool) Fault {
	s.header.readField(line, cut)
	value := bytes.Trim(line[min(s.nameBytes+1, len(line)):], " \t")
	if bytes.EqualFold(line[:min(s.nameBytes, len(line))], []byte("Transfer-Encoding")) && !bytes.EqualFold(value, []byte("chunked")) {
		return FaultNotUnderstood
	}
	return s.header.fault
}

func (s *ResponseScanner) endHeader() Fault {
	h := s.header
	switch {
	case h.chunked && h.oldVersion:
		return FaultOldVersion
	case s.status == http.StatusSwitchingProtocols:
		s.state = stateUnbounded
	case s.status < http.StatusOK:
		s.state = stateStart
	case s.status == http.StatusNoContent, s.status == http.StatusNotModified, s.method == http.MethodHead:
		s.endResponse()
	case h.chunked:
		s.state = stateChunkSize
	case h.length > 0:
		s.state, s.left = stateBody, h.length
	case h.length == 0:
		s.endResponse()
	default:
		s.state = stateUnbounded
	}
	return FaultNone
}

func (s *ResponseScanner) readChunkSize(line []byte) Fault {
	size, err := parseChunkSize(line)
	switch {
	case err != nil:
		return FaultNotUnderstood
	case size == 0:
		s.state = stateTrailer
	default:
		s.state, s.left = stateChunk, size+chunkLineBreak
	}
	return FaultNone
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }

// isTokenByte reports whether a byte may be part of the name of a field.
func isTokenByte(b byte) bool {
	return isDigit(b) || 'a' <= b|0x20 && b|0x20 <= 'z' || b != 0 && bytes.IndexByte([]byte("!#$%&'*+-.^_`|~"), b) >= 0
}
