// Package back is the client for backend servers: model engines and plain
// services, over net/http.
//
// Do makes exactly one attempt on one backend server. net/http's own replay of a
// request on a lost connection is prevented, so that the retry policy sees each
// attempt. Result.BytesWritten reports whether any byte of the request may have reached
// a connection, counted on the net.Conn.
//
// A connection must make progress: if no byte passes for the timeout, it is closed,
// together with the idle connections to the same backend server, which may have gone
// silent as well. There is no limit on the total time of a response.
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
//		// res.Ending says how it failed, res.BytesWritten whether it may have run.
//	}
package back
