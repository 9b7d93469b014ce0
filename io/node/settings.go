package node

import (
	"context"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/oper"
	"gentianwell/io/peerpb"
)

// makeSettings creates the follower, which keeps the newest settings in force, and
// the operators' handlers for settings.
func (n *Node) makeSettings(Options) error {
	store, err := conf.NewStore(conf.StoreConfig{Service: n.kvs, Now: n.now})
	if err != nil {
		return errors.Trace(err)
	}
	n.follower, err = conf.NewFollower(conf.FollowerConfig{
		Self: n.c.ID, Store: store, Timer: n.timers, Rand: n.rand(randSettings), Log: n.log,
		Fetch: n.fetchSettings, Apply: n.apply,
	})
	if err != nil {
		return errors.Trace(err)
	}
	n.oper, err = oper.New(oper.Config{Follower: n.follower, Store: store, Versions: n.versions, Log: n.log})
	return errors.Trace(err)
}

// snapshot returns the settings in force, or nil if none have been loaded yet.
func (n *Node) snapshot() *tree.Snapshot {
	if !n.follower.Ready() {
		return nil
	}
	return n.follower.Current()
}

func (n *Node) settingsVersion() int64 { return n.follower.Current().Version }

// fetchSettings asks a peer for its settings document, if its version is above have.
//
// Errors: NotFound if the VM is not a known peer, or the error of the call.
func (n *Node) fetchSettings(ctx context.Context, vm call.VMID, have int64) ([]byte, error) {
	for _, p := range n.fleet.peers() {
		if p.ID != vm {
			continue
		}
		var document []byte
		err := n.pool.Call(ctx, p.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
			reply, err := client.Settings(ctx, &peerpb.SettingsRequest{HaveVersion: have})
			if err != nil {
				return err
			}
			document = reply.Tree
			return nil
		})
		return document, errors.Annotate(err, "Node.fetchSettings")
	}
	return nil, errors.NotFoundf("Node.fetchSettings: VM %s", vm)
}

// apply passes a new snapshot's limits, and its settings for the site, to the parts.
func (n *Node) apply(s *tree.Snapshot) {
	n.drain.SetLimit(s.Site().StopLimit)
	n.limits.apply(s)
	n.runner.SetSharedCapacity(s.Site().QueueCapacity)
}
