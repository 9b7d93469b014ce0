// Package conf keeps the settings tree in the platform's key-value service and
// follows it on every entry VM.
//
// Each branch has a key of its own and a head key names the change that the
// tree is at. A change is one transaction that compares the head's revision and
// writes branches, head and history, so that a tree is only ever changed by
// whoever has seen the whole of it.
//
// # Usage
//
//	store, err := conf.NewStore(conf.StoreConfig{Service: svc, Now: time.Now})
//	follower, err := conf.NewFollower(conf.FollowerConfig{
//		Store: store, Timer: timers, Rand: rnd, Self: "e1", Log: log,
//		Fetch: fetchFromPeer, // asks another entry VM for its document
//		Apply: func(s *tree.Snapshot) { ... },
//	})
//	go follower.Run(ctx)
//	accepted, err := follower.Submit(ctx, conf.Change{Author: "anna", Edits: edits})
//
// A change is in force on a VM after one watch event, or one PollInterval where
// the watch is silent, or one gossip round for each hop where the VM is cut off
// from the platform. What is in force is only ever replaced by a document that
// holds its change (see tree.Head.Judge). A platform that comes back with older
// data is brought up to what is in force; changes that it accepted meanwhile
// are merged on top.
package conf
