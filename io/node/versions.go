package node

import (
	"context"
	"sync"

	"gentianwell/core/call"
	"gentianwell/io/oper"
	"gentianwell/io/peer"
	"gentianwell/io/peerpb"
)

// maxVersionCalls bounds the number of concurrent calls to other VMs.
const maxVersionCalls = 32

// versions asks all entry VMs for the settings version that is in force on them.
func (n *Node) versions(ctx context.Context) oper.VMVersions {
	out := oper.VMVersions{{VM: n.c.ID, Zone: n.c.Zone, Version: n.settingsVersion()}}
	var mu sync.Mutex
	var calls sync.WaitGroup
	slots := make(chan struct{}, maxVersionCalls)
	for _, p := range n.fleet.peers() {
		calls.Go(func() {
			slots <- struct{}{}
			defer func() { <-slots }()
			v := n.fetchVersion(ctx, p)
			mu.Lock()
			defer mu.Unlock()
			out = append(out, v)
		})
	}
	calls.Wait()
	return out
}

func (n *Node) fetchVersion(ctx context.Context, p peer.Peer) oper.VMVersion {
	v := oper.VMVersion{VM: p.ID}
	err := n.pool.Call(ctx, p.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		reply, err := client.Exchange(ctx, &peerpb.ExchangeRequest{
			Vm: string(n.c.ID), Zone: string(n.c.Zone), SettingsVersion: n.settingsVersion(),
		})
		if err != nil {
			return err
		}
		v.Version, v.Zone = reply.SettingsVersion, call.Zone(reply.Zone)
		return nil
	})
	if err != nil {
		v.Error = err.Error()
	}
	return v
}
