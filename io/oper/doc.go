// Package oper implements the settings part of the operators' HTTP interface and
// a client for it. The guard that is passed to Register checks the operator's
// bearer key before a request is handled.
//
// # Usage
//
//	api, err := oper.New(oper.Config{Follower: follower, Store: store, Versions: versions, Log: log})
//	api.Register(mux, onlyOperators)
//
//	client := oper.Client{Address: address, Key: key}
//	response, err := client.Change(ctx, oper.ChangeRequest{Change: change, Wait: tree.Duration(11 * time.Second)})
//
// The routes are:
//
//	GET  /settings             the document in force on this VM
//	GET  /settings/effective   the values in effect for ?team= and ?class=, and the branches that set them
//	GET  /settings/history     the changes that the history holds
//	GET  /settings/versions    the version in force on each entry VM
//	POST /settings/changes     a ChangeRequest
//	POST /settings/undo        an UndoRequest
//
// Bodies are JSON. The body of an error response is a Failure.
package oper
