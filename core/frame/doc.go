// Package frame follows the framing of the HTTP/1 messages in a byte stream: where each
// header ends, how long its body is and where the next message begins. It finds the requests
// whose length can be read in two ways, which makes request smuggling possible: bytes that
// are part of a body to one reader are a request of their own to another.
//
// net/http ignores Content-Length beside Transfer-Encoding, and Transfer-Encoding in
// HTTP/1.0, and does not tell the handler. A server that is to refuse such requests passes a
// Scanner all bytes that it reads from a connection.
//
// A Scanner takes what net/http takes and ends requests where net/http does. Where it cannot
// follow a stream, all later requests have FaultNotUnderstood.
//
// A client has the same trouble with responses: net/http takes statuses and header fields that
// RFC 9110 and RFC 9112 do not allow, so that a length may be overlooked. A ResponseScanner finds
// them in the bytes that the client reads.
//
// The rules are those of RFC 9112, sections 4 to 7, and of RFC 9110, sections 5 and 15.
//
// # Usage
//
//	var s frame.Scanner
//	n, err := conn.Read(p)
//	s.Scan(p[:n])
//	…
//	if fault := s.Fault(); fault != frame.FaultNone {
//		refuse(fault) // and close the connection
//	}
//	…
//	s.Next() // the response was sent
//
// For responses:
//
//	var s frame.ResponseScanner
//	s.Sent() // a request
//	n, err := conn.Read(p)
//	if valid, fault := s.Scan(p[:n]); fault != frame.FaultNone {
//		return valid, errors.New(string(fault)) // and close the connection
//	}
//
// Scanners are not safe for concurrent use.
package frame
