// Package proxy passes callers' requests on to backend servers unchanged and
// their answers back, as the routing table says.
//
// A request is read whole, placed on a replica, and sent. What may be repeated is
// sent again where that helps and the retry budget allows; what may run once is
// sent again only where no replica can have run it. Streams are passed on event
// by event; where the route allows it, a broken one goes on at another replica. The
// final answer is given as soon as it is known, at the latest when the caller's
// deadline or the route's timeout is over:
//
//   - 503 with Retry-After, and 429, only where the request has not run and never
//     will;
//   - 502 or 504 where it may have run;
//   - a closed connection where a part of the answer has been passed on and the
//     rest cannot be.
//
// # Usage
//
//	s, err := proxy.New(proxy.Config{Wire: wire, Table: tables.Current, Router: router, …})
//	err = s.HTTP().Serve(proxy.Listener(listener))
//
// The names of headers belong to the deployment: Wire reads and writes them.
package proxy
