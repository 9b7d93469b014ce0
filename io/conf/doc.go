// Package conf stores the settings tree in the platform's key-value service and
// keeps every entry VM up to date with it.
//
// Each branch has its own key, and the head key identifies the latest change. A
// change is one transaction that compares the head's revision and writes the
// branches, the head and the history, so a client can only change a tree that
// it has read completely.
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
// A change takes effect on a VM after one watch event; after one PollInterval if
// the watch delivers nothing; or after one gossip round per hop if the VM cannot
// reach the platform. The document in force is only replaced by one that includes
// its latest change (see tree.Head.Compare). A platform that comes back with
// older data is restored from the document in force; changes that it accepted in
// the meantime are merged on top.
package conf
