// Package table holds the routing table: which service a request goes to, what
// may be repeated, how long its caller may be kept waiting, and which team a key
// belongs to.
//
// # Usage
//
//	t, err := table.New(table.Document{Version: 7, Routes: routes, Teams: teams})
//	r, ok := t.Match("shop.example", "/orders/17")
//	team, ok := t.Team("the caller's key")
//	service := r.Choose(draw)
//
// A Table is immutable and safe for concurrent use. A newer version replaces it
// as a whole; see Newer.
package table
