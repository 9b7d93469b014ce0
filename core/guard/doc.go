// Package guard decides which connections a listener admits, and which it closes when
// descriptors or memory run short.
//
// Each connection has a State. While a request's head arrives, the bytes that it may cost once
// parsed (HeadCost) are held against Config.MaxBytes. When the connections or the bytes run
// short, those that do nothing useful are closed first, the longest in their state before the
// others: refused ones, those that have sent nothing, unfinished heads, idle ones, unfinished
// bodies, and responses that nobody has read for StallTime. A connection whose request runs is
// never closed.
//
// # Usage
//
//	g := guard.New(guard.Config{MaxConns: 1000, MaxBytes: 8 << 20})
//	id, closed, ok := g.Admit(now) // not ok: wait until a connection leaves
//	closed, ok = g.Hold(now, id, guard.HeadCost(data)) // not ok: refuse the request with 503
//	g.Enter(now, id, guard.StateRun)
//	g.Enter(now, id, guard.StateIdle) // gives back what is held
//	g.Leave(id)
//
// A Guard is not safe for concurrent use.
package guard
