// Package back is the client for backend servers: model engines and plain
// services, over net/http.
//
// One Do is one attempt on one backend server and never more: what net/http
// would replay by itself on a connection that died is ruled out, so that whoever
// decides on retries sees each attempt. The Result says truthfully whether any
// byte of the request reached a connection, counted on the net.Conn.
//
// A connection has to make progress: without a byte for the timeout it is closed,
// together with the idle connections to the same backend server, which may have
// gone silent as well. There is no limit on an answer's total time.
//
// # Usage
//
//	c, err := back.New(back.Config{})
//	if err != nil {
//		return err
//	}
//	defer c.Close()
//	res, err := c.Do(ctx, target, req, func(e back.Event) error {
//		_, err := w.Write(e.Raw)
//		return err
//	})
//	if err != nil {
//		// res.Ending says how it failed, res.Wrote whether it may have run.
//	}
package back
