package duty

import (
	"context"
	"sync"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/io/kvs"
)

const (
	// LeaseKey is the key of the lease, and TokenKey that of the last token given out.
	LeaseKey = "gentianwell/duty"
	TokenKey = "gentianwell/dutyToken"
	// TickInterval is how often Holder.Tick has to be called. It is a third of the time after
	// which the process counts as having stood still.
	TickInterval = 100 * time.Millisecond

	defaultLease = 3 * time.Second
	defaultSlack = 300 * time.Millisecond
	// renewDivisor and marginDivisor give the time between renewals, and the least margin, as a
	// part of the lease.
	renewDivisor  = 3
	marginDivisor = 10
	// renewPause is the time between a failed renewal and the next: a store that answers with an
	// error is tried several times before the lease ends.
	renewPause = 300 * time.Millisecond
)

// Event is what happens to the lease on this VM.
type Event string

// The events.
const (
	EventWon       Event = "won"
	EventLost      Event = "lost"
	EventStoodDown Event = "stoodDown"
	EventRefused   Event = "refused"
	EventRenewFail Event = "renewalFailed"
	EventPaused    Event = "paused"
)

// HolderConfig configures a Holder. Fields without a default are required.
type HolderConfig struct {
	VM      call.VMID
	Service kvs.Service
	// Nonce returns a string that no other call on any VM ever returned.
	Nonce func() string
	// Now is the wall clock, which only makes tokens. Clock measures the lease; it also runs
	// while the VM is suspended. The default is BootClock.
	Now   func() time.Time
	Clock func() time.Time
	// Lease is the lease's time to live, Slack the least time by which the holder treats it as
	// expired before the store does.
	Lease time.Duration
	Slack time.Duration
	// VMs returns the other VMs that are known.
	VMs func() []call.VMID
	// Announce tells the other VMs of the holder for a time; with urgent, all of them at once.
	Announce func(a duty.Announcement, ttl time.Duration, urgent bool)
	// DoneUntil returns the last window of usage whose counts are not needed any more. The
	// default returns 0.
	DoneUntil func() int64
	// Era returns the greatest era of the store that has been seen; it may be nil.
	Era func() int64
	// Observe is called with each event. It may be nil.
	Observe func(Event)
	Log     logrus.FieldLogger
}

// Defaults returns the configuration with unset fields set to their defaults.
func (c HolderConfig) Defaults() HolderConfig {
	if c.Lease == 0 {
		c.Lease = defaultLease
	}
	if c.Slack == 0 {
		c.Slack = defaultSlack
	}
	if c.Clock == nil {
		c.Clock = BootClock
	}
	if c.Observe == nil {
		c.Observe = func(Event) {}
	}
	if c.DoneUntil == nil {
		c.DoneUntil = func() int64 { return 0 }
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c HolderConfig) Validate() error {
	switch {
	case c.VM == "" || c.Nonce == nil || c.Now == nil || c.VMs == nil || c.Announce == nil || c.Log == nil || c.Service.Transact == nil:
		return errors.NotValidf("HolderConfig: VM, Service, Nonce, Now, VMs, Announce or Log is not set (all are required)")
	case c.Lease/renewDivisor+c.margin() >= c.Lease*2/renewDivisor:
		return errors.NotValidf("HolderConfig: Lease %s, Slack %s (Slack must be less than a third of Lease)", c.Lease, c.Slack)
	}
	return nil
}

func (c HolderConfig) margin() time.Duration { return max(c.Slack, c.Lease/marginDivisor) }

// Holder takes part in the election of the VM that has the duties, and says whether this VM
// may make a call.
type Holder struct {
	config  HolderConfig
	elector *Elector
	wake    chan struct{}

	mu        sync.Mutex
	candidate *duty.Candidate
	// term is a copy of the elector's term; nil if this VM does not hold the lease.
	term     *duty.Term
	revision kvs.Revision
	previous int64
	renewal  int64
	// tickedAt is the time of the last Tick. pausedAt is when a pause was noticed; nothing is
	// permitted until a renewal that was requested later.
	tickedAt time.Time
	pausedAt time.Time
	// callsUntil is the latest time at which a permitted call may still be under way.
	callsUntil time.Time
	// refused is true if the platform has refused the token, doubted if the key has to be read
	// with the next renewal.
	refused, doubted bool
	stopping         bool
}

// NewHolder returns a holder that takes part in the election while Run runs.
//
// Errors: NotValid.
func NewHolder(c HolderConfig) (*Holder, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewHolder")
	}
	now := c.Clock()
	h := &Holder{config: c, wake: make(chan struct{}, 1), tickedAt: now}
	h.candidate = duty.NewCandidate(duty.CandidateConfig{Self: c.VM, Lease: c.Lease}, now)
	h.elector = NewElector(ElectorConfig{
		Service: c.Service, VM: c.VM, Nonce: c.Nonce, Now: c.Clock, Key: LeaseKey, TokenKey: TokenKey, NextToken: h.nextToken,
		TTL: c.Lease, Margin: c.margin(), RenewTimeout: c.Lease / renewDivisor, CampaignTimeout: c.Lease / renewDivisor, Era: c.Era,
	})
	return h, nil
}

// Tick notices a pause of the process and wakes Run. It returns at once.
func (h *Holder) Tick(time.Time) {
	h.mu.Lock()
	now := h.config.Clock()
	h.noticePause(now)
	h.tickedAt = now
	h.mu.Unlock()
	h.wakeUp()
}

// noticePause records that the process stood still since the last Tick; h.mu is held.
func (h *Holder) noticePause(now time.Time) {
	gap := now.Sub(h.tickedAt)
	if gap <= TickInterval+h.config.Slack {
		return
	}
	if h.term != nil && !h.pausedAt.Equal(now) {
		h.config.Observe(EventPaused)
		h.note(logrus.WarnLevel, EventPaused, "the process stood still; no calls until the lease is renewed", logrus.Fields{"gap": gap.String()})
	}
	h.pausedAt, h.tickedAt = now, now
}

func (h *Holder) wakeUp() {
	select {
	case h.wake <- struct{}{}:
	default:
	}
}

// Run takes part in the election until ctx ends, and then gives the lease back.
func (h *Holder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			h.StandDown()
			h.step(context.WithoutCancel(ctx))
			return nil
		case <-h.wake:
			h.step(ctx)
		}
	}
}

// Permit returns a permit for a call that begins now and ends within a time, if this VM holds
// the lease for as long.
func (h *Holder) Permit(now time.Time, takes time.Duration) (duty.Permit, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	clock := h.config.Clock()
	h.noticePause(clock)
	if h.stopping || h.refused || h.term == nil || !h.pausedAt.IsZero() || !h.term.Covers(clock, takes) {
		return duty.Permit{}, false
	}
	if until := clock.Add(takes); until.After(h.callsUntil) {
		h.callsUntil = until
	}
	return duty.Permit{Holder: h.config.VM, Token: h.term.Token, Until: now.Add(h.term.Until().Sub(clock))}, true
}

// Refused ends the term of a permit, because the platform has refused its token.
func (h *Holder) Refused(p duty.Permit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term == nil || h.term.Token != p.Token || h.refused {
		return
	}
	h.refused = true
	h.wakeUp()
}

// Doubt has the store asked whether the lease of a permit is still this VM's, because a call
// was refused for a reason that is not known.
func (h *Holder) Doubt(p duty.Permit) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != nil && h.term.Token == p.Token {
		h.doubted = true
		h.wakeUp()
	}
}

// StandDown gives the lease back and does not take it any more, because the VM stops.
func (h *Holder) StandDown() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	h.wakeUp()
}

// Heard applies the announcement of another VM that is valid for a time.
func (h *Holder) Heard(a duty.Announcement, ttl time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.term != nil && a.Token <= h.term.Token {
		return
	}
	if h.term != nil {
		// The lease is gone although it has not expired: the store was restored.
		h.doubted = true
		h.wakeUp()
	}
	if h.candidate.Heard(h.config.Clock(), a, ttl) {
		h.config.Log.WithFields(logrus.Fields{"event": "dutyHeard", "holder": a.Holder, "token": a.Token, "ttl": ttl.String()}).Info("another VM holds the lease of the duties, or has given it back")
	}
}

// Holder returns the VM that is known to hold the lease, or to have held it last, and its token.
func (h *Holder) Holder() (call.VMID, int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.candidate.Holder()
}

// Tenure describes the present term of this VM.
type Tenure struct {
	Token int64
	// Previous is the greatest token that was known when the lease was taken; zero if there was none.
	Previous int64
	// Since is how long the lease has been held.
	Since time.Duration
	// Revision is that of the lease's key.
	Revision kvs.Revision
}

// Term returns the present term; false if this VM does not hold the lease.
func (h *Holder) Term() (Tenure, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock()
	if h.stopping || h.refused || h.term == nil || !h.term.Held(now) {
		return Tenure{}, false
	}
	return Tenure{Token: h.term.Token, Previous: h.previous, Since: now.Sub(h.term.TakenAt()), Revision: h.revision}, true
}

// nextToken is called while the elector takes the lease.
func (h *Holder) nextToken(last int64) (int64, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	now := h.config.Clock()
	if ok, reason := h.candidate.MayTake(now, last); !ok || h.stopping {
		h.candidate.Absent(now)
		h.config.Log.WithFields(logrus.Fields{"event": "dutyNotTaken", "reason": reason, "lastToken": last, "stopping": h.stopping}).Info("the lease of the duties is free and is left to other VMs")
		return 0, false
	}
	_, heard := h.candidate.Holder()
	h.previous = max(last, heard)
	return h.candidate.NextToken(h.config.Now(), last), true
}

// step ends the term if it has to end, and renews the lease or tries to take it when that is due.
func (h *Holder) step(ctx context.Context) {
	h.mu.Lock()
	now, term := h.config.Clock(), h.elector.Term()
	refused, stopping, doubted := h.refused, h.stopping, h.doubted
	renewDue := term != nil && (doubted || !h.pausedAt.IsZero() || now.Sub(h.elector.RenewedAt()) >= h.config.Lease/renewDivisor)
	h.mu.Unlock()
	switch {
	case term != nil && (refused || stopping):
		h.resign(refused)
	case term != nil && !term.Held(now):
		h.end(EventLost, "the lease could not be renewed in time")
	case renewDue && now.Sub(h.elector.RenewedAt()) >= renewPause:
		h.renew(ctx, doubted)
	case term == nil && !stopping:
		h.campaign(ctx, now)
	}
}

// resign gives the lease back.
func (h *Holder) resign(refused bool) {
	event, reason := EventStoodDown, "the VM stops"
	if refused {
		event, reason = EventRefused, "the platform has refused the token"
	}
	token := h.elector.Term().Token
	h.clearTerm()
	if err := h.elector.Resign(); err != nil {
		h.elector.End()
		h.note(logrus.WarnLevel, event, "the lease of the duties could not be revoked, it expires", logrus.Fields{"error": err})
	}
	h.ended(event, reason, token, refused)
}

// end ends the term without a call.
func (h *Holder) end(event Event, reason string) {
	token := h.elector.Term().Token
	h.clearTerm()
	h.elector.End()
	h.ended(event, reason, token, false)
}

// clearTerm lets Permit refuse from now on.
func (h *Holder) clearTerm() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.term = nil
}

// ended records the end of a term whose lease this VM does not hold any more.
func (h *Holder) ended(event Event, reason string, token int64, refused bool) {
	h.mu.Lock()
	h.candidate.Ended(h.config.Clock(), h.callsUntil, refused)
	h.term, h.refused, h.doubted, h.pausedAt = nil, false, false, time.Time{}
	h.renewal++
	a := duty.Announcement{Token: token, Renewal: h.renewal, DoneUntil: h.config.DoneUntil()}
	h.mu.Unlock()
	h.config.Observe(event)
	h.note(logrus.InfoLevel, event, "this VM holds the lease of the duties no more", logrus.Fields{"token": token, "reason": reason})
	if event != EventLost {
		h.config.Announce(a, h.config.Lease, true)
	}
}

func (h *Holder) renew(ctx context.Context, check bool) {
	asked, token := h.config.Clock(), h.elector.Term().Token
	err := h.elector.Renew(ctx, check)
	if h.elector.Term() == nil {
		h.clearTerm()
		h.ended(EventLost, errors.Annotate(err, "renewal").Error(), token, false)
		return
	}
	if err != nil {
		h.config.Observe(EventRenewFail)
		h.note(logrus.WarnLevel, EventRenewFail, "the lease of the duties could not be renewed", logrus.Fields{"token": token, "error": err})
		return
	}
	h.mu.Lock()
	if !asked.Before(h.pausedAt) {
		h.pausedAt = time.Time{}
	}
	if check {
		h.doubted = false
	}
	h.renewal++
	h.mu.Unlock()
	h.publish(false)
}

// publish makes the elector's term the one that Permit goes by, and announces it.
func (h *Holder) publish(urgent bool) {
	h.mu.Lock()
	term := *h.elector.Term()
	h.term, h.revision = &term, h.elector.Revision()
	a := duty.Announcement{Holder: h.config.VM, Token: term.Token, Renewal: h.renewal, DoneUntil: h.config.DoneUntil()}
	ttl := term.Until().Add(h.config.margin()).Sub(h.config.Clock())
	h.mu.Unlock()
	h.config.Announce(a, ttl, urgent)
}

// campaign tries to take the lease if that is due.
func (h *Holder) campaign(ctx context.Context, now time.Time) {
	rank := duty.Rank(h.config.VM, h.config.VMs())
	h.mu.Lock()
	due := h.candidate.Due(now, rank)
	h.mu.Unlock()
	if !due {
		return
	}
	held, err := h.elector.Campaign(ctx)
	h.mu.Lock()
	now = h.config.Clock()
	term := h.elector.Term()
	switch {
	case err != nil:
		h.candidate.Failed(now, rank)
	case term != nil:
		h.candidate.Taken(term.Token)
		h.pausedAt, h.renewal, h.refused, h.doubted = time.Time{}, 0, false, false
	case held != "":
		h.heardOfStore(now, held)
	default:
		h.candidate.Absent(now)
	}
	h.mu.Unlock()
	switch {
	case err != nil:
		h.config.Log.WithFields(logrus.Fields{"event": "dutyCampaign", "rank": rank}).WithError(err).Warn("the lease of the duties could not be taken")
	case term != nil:
		h.config.Observe(EventWon)
		h.note(logrus.InfoLevel, EventWon, "this VM holds the lease of the duties", logrus.Fields{"token": term.Token, "rank": rank, "until": term.Until().Sub(now).String()})
		h.publish(true)
	}
}

// heardOfStore records the holder that the store's key names; h.mu is held.
func (h *Holder) heardOfStore(now time.Time, value string) {
	vm, token, err := parseHolder(value)
	if err != nil {
		h.candidate.Failed(now, 0)
		h.config.Log.WithFields(logrus.Fields{"event": "dutyKey"}).WithError(err).Warn("the key of the lease of the duties is not valid; it is waited for its end")
		return
	}
	h.candidate.HeardOfStore(now, duty.Announcement{Holder: vm, Token: token})
}

// note logs a change of the lease.
func (h *Holder) note(level logrus.Level, change Event, message string, fields logrus.Fields) {
	h.config.Log.WithFields(logrus.Fields{"event": "duty", "change": change, "vm": h.config.VM}).WithFields(fields).Log(level, message)
}
