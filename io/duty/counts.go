package duty

import (
	"context"
	"maps"
	"net/netip"
	"sync"
	"time"

	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/usage"
	"gentianwell/io/peer"
	"gentianwell/io/peerpb"
)

const (
	// countsInterval is the time between two messages with counts. A VM that dies takes the
	// counts of at most this time with it.
	countsInterval = time.Second
	// countsTimeout limits a call to the holder.
	countsTimeout = time.Second
	// backups is the number of VMs to which the holder sends its own counts, for the case that
	// it dies: those that are first to take the lease then.
	backups = 2
)

// CountsConfig configures a Counts. All fields are required.
type CountsConfig struct {
	VM       call.VMID
	Holder   *Holder
	Reporter *Reporter
	Counter  *usage.Counter
	// Incarnation differs for each start of the process.
	Incarnation uint64
	// Peers returns the other VMs.
	Peers func() []peer.Peer
	// Call calls a peer.
	Call func(ctx context.Context, address netip.AddrPort, fn func(context.Context, peerpb.DRPCPeerClient) error) error
	// TrueNow is the clock, corrected by what is known of the other VMs' clocks.
	TrueNow func() time.Time
	// Window is the length of a window, Lease the time to live of the lease.
	Window, Lease time.Duration
	Log           logrus.FieldLogger
}

// Counts sends this VM's counts to the holder, and takes those of the other VMs. The holder sends
// its own counts to the VMs that are first to follow it.
type Counts struct {
	config CountsConfig

	mu sync.Mutex
	// sentAt is the time of the last message, and sentWindow the window in which it was sent.
	sentAt     time.Time
	sentWindow int64
	sending    bool
	// triedToken is the holder's token at the last message: a new holder gets one at once.
	triedToken int64
	// token is that of the holder that has confirmed the counts in acked, by window and team.
	token  int64
	acked  map[int64]map[call.Team]int64
	failed bool
}

// NewCounts returns a Counts that sends when Tick is called.
func NewCounts(c CountsConfig) *Counts {
	return &Counts{config: c, acked: map[int64]map[call.Team]int64{}}
}

// Tick begins to send counts if that is due: once a second, and when a window has ended. It
// returns at once.
func (c *Counts) Tick(time.Time) {
	now := c.config.TrueNow()
	current := usage.WindowAt(now, c.config.Window)
	c.mu.Lock()
	defer c.mu.Unlock()
	since := now.Sub(c.sentAt)
	_, token := c.config.Holder.Holder()
	if c.sending || since >= 0 && since < countsInterval && current == c.sentWindow && token == c.triedToken {
		return
	}
	c.triedToken = token
	c.sentAt, c.sentWindow = now, current
	c.sending = true
	go func() {
		c.Send(context.Background())
		c.mu.Lock()
		defer c.mu.Unlock()
		c.sending = false
	}()
}

// Send sends the counts now.
func (c *Counts) Send(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, countsTimeout)
	defer cancel()
	if _, held := c.config.Holder.Term(); held {
		c.sendToBackups(ctx)
		return
	}
	vm, token := c.config.Holder.Holder()
	for _, p := range c.config.Peers() {
		if p.ID == vm {
			c.sendToHolder(ctx, p, token)
			return
		}
	}
}

// sendToHolder sends the counts that the holder has not confirmed yet.
func (c *Counts) sendToHolder(ctx context.Context, to peer.Peer, token int64) {
	// The present window is read before the counts, so that those of the windows before it are whole.
	current := usage.WindowAt(c.config.TrueNow(), c.config.Window)
	windows := c.config.Counter.Windows()
	c.mu.Lock()
	if token != c.token {
		c.token, c.acked = token, map[int64]map[call.Team]int64{}
	}
	changed := c.changed(current, windows)
	c.mu.Unlock()
	reply, err := c.call(ctx, to, usage.Source{VM: c.config.VM, Incarnation: c.config.Incarnation}, changed)
	c.mu.Lock()
	defer c.mu.Unlock()
	if failed := err != nil || !reply.Holder; failed != c.failed {
		c.failed = failed
		c.config.Log.WithFields(logrus.Fields{"event": "usageCounts", "holder": to.ID, "token": token, "delivered": !failed}).WithError(err).Info("delivery of counts to the holder has changed")
	}
	if err != nil || !reply.Holder || c.token != token {
		return
	}
	for _, w := range changed {
		if c.acked[w.Window] == nil {
			c.acked[w.Window] = map[call.Team]int64{}
		}
		maps.Copy(c.acked[w.Window], w.Requests)
	}
	maps.DeleteFunc(c.acked, func(window int64, _ map[call.Team]int64) bool { return window <= reply.DoneUntil })
	c.config.Reporter.SetDone(reply.DoneUntil)
	// The answer shows that the VM held the lease a moment ago.
	c.config.Holder.Heard(duty.Announcement{Holder: to.ID, Token: token, DoneUntil: reply.DoneUntil}, c.config.Lease)
}

// changed returns the counts that are not confirmed, with the present window, whose message shows
// that those before it are final; mu is held.
func (c *Counts) changed(current int64, windows []usage.Window) []usage.Window {
	out := []usage.Window{{Window: current}}
	for _, w := range windows {
		acked := c.acked[w.Window]
		maps.DeleteFunc(w.Requests, func(team call.Team, n int64) bool { return acked[team] >= n })
		if len(w.Requests) > 0 {
			out = append(out, w)
		}
	}
	return out
}

// sendToBackups sends the VMs that would follow this one its own counts, and those of VMs that
// are not known any more and cannot send them again.
func (c *Counts) sendToBackups(ctx context.Context) {
	peers := c.config.Peers()
	byID := make(map[call.VMID]peer.Peer, len(peers))
	ids := make([]call.VMID, 0, len(peers))
	for _, p := range peers {
		byID[p.ID] = p
		ids = append(ids, p.ID)
	}
	sources := c.config.Reporter.Lost()
	sources[usage.Source{VM: c.config.VM, Incarnation: c.config.Incarnation}] = c.config.Counter.Windows()
	order := duty.Order(ids)
	for _, id := range order[:min(backups, len(order))] {
		for source, windows := range sources {
			if _, err := c.call(ctx, byID[id], source, windows); err != nil {
				c.config.Log.WithFields(logrus.Fields{"event": "usageCounts", "peer": id, "of": source.VM}).WithError(err).Debug("counts could not be sent to a VM that may follow")
				break
			}
		}
	}
}

func (c *Counts) call(ctx context.Context, to peer.Peer, of usage.Source, windows []usage.Window) (*peerpb.UsageReply, error) {
	req := &peerpb.UsageRequest{Vm: string(of.VM), Incarnation: of.Incarnation}
	if done := c.config.Reporter.DoneUntil(); done > 0 {
		// A negative number is the last window that is known to be done: a VM that becomes the
		// holder may not have heard of it, and the store may have lost its key.
		req.Windows = append(req.Windows, &peerpb.WindowUsage{Window: -done})
	}
	for _, w := range windows {
		counts := make(map[string]uint64, len(w.Requests))
		for team, n := range w.Requests {
			counts[string(team)] = uint64(n)
		}
		req.Windows = append(req.Windows, &peerpb.WindowUsage{Window: w.Window, RequestsByTeam: counts})
	}
	var reply *peerpb.UsageReply
	err := c.config.Call(ctx, to.Address, func(ctx context.Context, client peerpb.DRPCPeerClient) error {
		var err error
		reply, err = client.Usage(ctx, req)
		return err
	})
	return reply, err
}

// Receive serves the counts of another VM.
func (c *Counts) Receive(_ context.Context, req *peerpb.UsageRequest) (*peerpb.UsageReply, error) {
	windows := make([]usage.Window, 0, len(req.Windows))
	for _, w := range req.Windows {
		if w.Window < 0 {
			c.config.Reporter.SetDone(-w.Window)
			continue
		}
		counts := make(map[call.Team]int64, len(w.RequestsByTeam))
		for team, n := range w.RequestsByTeam {
			counts[call.Team(team)] = int64(min(n, 1<<32))
		}
		windows = append(windows, usage.Window{Window: w.Window, Requests: counts})
	}
	c.config.Reporter.Merge(usage.Source{VM: call.VMID(req.Vm), Incarnation: req.Incarnation}, windows)
	if _, held := c.config.Holder.Term(); !held {
		return &peerpb.UsageReply{}, nil
	}
	return &peerpb.UsageReply{Holder: true, DoneUntil: c.config.Reporter.DoneUntil()}, nil
}
