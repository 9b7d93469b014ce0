// Package table implements the routing table: which service a request goes to,
// whether it may be retried, how long its caller may wait, and which team an API
// key belongs to.
//
// # Usage
//
//	t, err := table.New(table.Document{Version: 7, Routes: routes, Teams: teams})
//	r, ok := t.Match("shop.example", "/orders/17")
//	team, ok := t.Team("the caller's key")
//	service := r.Choose(rand.Float64())
//
// A Table is immutable and safe for concurrent use. A newer version replaces it
// as a whole; see Table.Newer.
package table
