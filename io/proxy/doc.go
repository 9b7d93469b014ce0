// Package proxy forwards callers' requests to backend servers, and the responses back
// to the callers, as the routing table says. Bodies are forwarded unchanged.
//
// The body of a request is read to its end before the router chooses a replica and
// the request is sent. A request that may be repeated is retried if the cause of the
// failure and the retry budget allow it; a request that may run only once is retried
// only if no replica can have run it. Streams are forwarded event by event; if the
// route allows it, a broken stream is resumed on another replica. The final response
// is sent as soon as it is known, and no later than the caller's deadline and the
// route's timeout:
//
//   - 503 with Retry-After, or 429, only if the request has not run and never will;
//   - 502 or 504 if it may have run;
//   - a closed connection if part of the response was forwarded and the rest cannot
//     be.
//
// # Usage
//
//	s, err := proxy.New(proxy.Config{Headers: codec, Table: tables.Current, Router: router, …})
//	err = s.HTTP().Serve(s.WrapListener(listener))
//
// The names of the headers depend on the deployment: HeaderCodec reads and writes them.
package proxy
