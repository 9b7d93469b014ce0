package peer

import (
	"context"
	"slices"
	"time"

	"github.com/juju/errors"

	"gentianwell/core/call"
	"gentianwell/core/spread"
	"gentianwell/io/peerpb"
)

// Notify sends a peer items, among them one of a kind of Notices, and nothing else; its answer has no items
// either. It is for frequent messages, which would be large with all that an exchange has.
//
// Errors: the peer did not answer in time, or another VM did.
func (g *Gossip) Notify(now time.Time, to Peer, items spread.Items) error {
	req := &peerpb.ExchangeRequest{
		Vm: string(g.config.Self), Zone: string(g.config.Zone), SettingsVersion: g.config.SettingsVersion(), Items: toProto(items, now),
		ClockNanoseconds: g.config.Now().UnixNano(),
	}
	var reply *peerpb.ExchangeReply
	err := g.config.Pool.Call(context.Background(), to.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Exchange(ctx, req)
		return err
	})
	now = g.config.Now()
	if err == nil && reply.Vm != string(to.ID) {
		err = errors.NotFoundf("VM %s at %s, answered by %s", to.ID, to.Address, reply.Vm)
	}
	if err != nil {
		err = errors.Annotate(err, "Gossip.Notify")
		g.config.ExchangeDone(now, ExchangeResult{Peer: to, Err: err})
		return err
	}
	g.config.ExchangeDone(now, ExchangeResult{Peer: to, SettingsVersion: reply.SettingsVersion})
	g.receive(now, received{MessageReply, call.VMID(reply.Vm), reply.SettingsVersion, reply.ClockNanoseconds, reply.Items})
	return nil
}

// isNotice reports whether a request came from Notify.
func (g *Gossip) isNotice(req *peerpb.ExchangeRequest) bool {
	return slices.ContainsFunc(req.Items, func(it *peerpb.Item) bool { return g.config.Notices[spread.Kind(it.Kind)] != nil })
}

func (g *Gossip) noticeReply() *peerpb.ExchangeReply {
	return &peerpb.ExchangeReply{
		Vm: string(g.config.Self), Zone: string(g.config.Zone), SettingsVersion: g.config.SettingsVersion(), ClockNanoseconds: g.config.Now().UnixNano(),
	}
}

// splitNotices returns the items to keep and those of the kinds of Notices.
func (g *Gossip) splitNotices(items spread.Items) (kept, notices spread.Items) {
	for _, item := range items {
		if g.config.Notices[item.Kind] != nil {
			notices = append(notices, item)
		} else {
			kept = append(kept, item)
		}
	}
	return kept, notices
}
