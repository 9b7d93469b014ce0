// Package strict wraps the connections of HTTP/1 clients, so that net/http takes no broken
// response for a whole one.
//
// A body with neither a length nor chunks ends with its connection, which may end in order or be
// reset. Linux reports a reset once: if a write of the request takes the error, the read that
// follows sees an end of file. A Conn asks its writes before it passes on an end of file.
//
// net/http takes statuses and header fields that HTTP does not allow. A Conn follows the responses
// that are read, and fails the read that brings such a status or field, see frame.ResponseScanner.
//
// # Usage
//
//	transport := &http.Transport{
//		DialContext: func(ctx context.Context, network, address string) (net.Conn, error) {
//			c, err := dialer.DialContext(ctx, network, address)
//			if err != nil {
//				return nil, err
//			}
//			return strict.New(c), nil
//		},
//	}
//
// A read that finds a broken response fails, and so does the call of net/http that made it.
package strict
