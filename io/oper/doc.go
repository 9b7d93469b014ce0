// Package oper is the settings part of the operators' HTTP interface, and its
// client. Whoever serves it checks the operator's bearer key first.
//
// # Usage
//
//	settings, err := oper.New(oper.Config{Follower: follower, Store: store, Versions: versions, Log: log})
//	settings.Register(mux, onlyOperators)
//
//	client := oper.Client{Address: address, Key: key}
//	answer, err := client.Change(ctx, oper.ChangeRequest{Change: change, Wait: tree.Duration(11 * time.Second)})
//
// The paths:
//
//	GET  /settings             the document in force on this VM
//	GET  /settings/effective   what holds for ?team= and ?class=, and from where
//	GET  /settings/history     the changes that are kept
//	GET  /settings/versions    which VM applies which version
//	POST /settings/changes     a ChangeRequest
//	POST /settings/undo        an UndoRequest
//
// Bodies are JSON. A refusal has a Failure as its body.
package oper
