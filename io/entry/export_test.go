package entry

import (
	"context"
	"time"

	"gentianwell/core/spread"
	"gentianwell/io/kvs"
	"gentianwell/io/peer"
)

// Path is a way on which a VM hears of a change, for tests that switch some off.
type Path string

// The paths. Each but PathWatch is that of all VMs.
const (
	// PathWatch is the watch that was under way when the paths were switched off, PathRestart any that is
	// begun after that.
	PathWatch   Path = "watch"
	PathRestart Path = "restart"
	// PathRead is a read of the store by the VM itself, PathNotice what others tell of theirs.
	PathRead   Path = "read"
	PathNotice Path = "notice"
	PathPush   Path = "push"
	PathGossip Path = "gossip"
	PathFetch  Path = "fetch"
)

// Version returns the version of the configuration in force.
func (e *Entry) Version() int64 { return e.tables.version() }

// SwitchOff makes the paths bring nothing where off returns true. It has to be called before Run; the
// watch is switched off by the store's calls.
func (e *Entry) SwitchOff(off func(Path) bool) {
	list, push, notify, fetch := e.probe.list, e.probe.push, e.reads.notify, e.bundles.fetch
	e.probe.list = func(ctx context.Context, prefix string) (kvs.Snapshot, error) {
		if off(PathRead) {
			return kvs.Snapshot{}, kvs.ErrRefused
		}
		return list(ctx, prefix)
	}
	e.probe.push = func(after kvs.Revision) {
		if !off(PathPush) {
			push(after)
		}
	}
	e.reads.notify = func(now time.Time, to peer.Peer, items spread.Items) error {
		if off(PathNotice) {
			return kvs.ErrUnknown
		}
		return notify(now, to, items)
	}
	e.bundles.fetch = func(ctx context.Context, from peer.Peer) error {
		if off(PathFetch) {
			return kvs.ErrUnknown
		}
		return fetch(ctx, from)
	}
	round := e.gossipRound
	e.gossipRound = func(now time.Time) {
		if !off(PathGossip) {
			round(now)
		}
	}
}
