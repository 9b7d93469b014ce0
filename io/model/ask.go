package model

import (
	"time"

	"gentianwell/core/call"
	"gentianwell/core/route"
)

// part is a shared part of a prompt.
type part struct {
	id     uint64
	tokens int
}

// ask is a call on its way through a deployment.
type ask struct {
	kind   *Kind
	call   call.Call
	parts  []part
	events int
	// size is what it is worth against a call of mean length of its kind.
	size float64
	// memory is what it takes at an engine beside shared parts.
	memory int
	// asked is when its caller first sent it; again is true once it came back
	// after a refusal.
	asked time.Time
	again bool
	first time.Time
	last  time.Time
	// paused is true once a pause between events was too long.
	paused bool
	ended  bool

	// The engine's side: tokens that are not read yet, that are, and that were made.
	unread, context, generated int
	holds                      bool
	event                      func(route.Load)
	end                        func()
}
