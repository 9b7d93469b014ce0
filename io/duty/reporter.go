package duty

import (
	"cmp"
	"context"
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/juju/errors"
	"github.com/sirupsen/logrus"

	"gentianwell/core/call"
	"gentianwell/core/duty"
	"gentianwell/core/usage"
	"gentianwell/io/kvs"
)

const (
	defaultWindow = 5 * time.Second
	defaultLate   = 10 * time.Second
	// fixAfter is how long after its end a window is fixed at the latest if nothing is in the
	// way. It leaves most of the time in which a report is due for a change of the holder.
	fixAfter = 3 * time.Second
	// gatherTime is how long a new holder waits for the other VMs' counts, and for what they know
	// to be done. They send them when they hear of the new holder, or a second later if a call to the
	// earlier one is under way.
	gatherTime = 1200 * time.Millisecond
	// keyTTL is the lease of the keys of fixed windows. One lease is used for the windows of its
	// first half, so that each call for a lease serves several windows.
	keyTTL = time.Minute
	// giveUpAfter is how long after its end a window is given up. Its key expires soon after.
	giveUpAfter = keyTTL / 2
	// storeTimeout limits a call to the store, and storePause is the pause after one that failed.
	storeTimeout = time.Second
	storePause   = 500 * time.Millisecond
	// minRetryPause and maxRetryPause bound the pause between two attempts to send a report: the
	// API takes 50 calls a second of all VMs together.
	minRetryPause = 250 * time.Millisecond
	maxRetryPause = time.Second
	// silentFor is how long after the start of a window a VM that has sent nothing in it counts as
	// silent; VMs send once a second.
	silentFor = 1500 * time.Millisecond
	// maxSending limits the reports that are sent at the same time, so that a call without an
	// answer does not hold up the next windows.
	maxSending = 4
)

// ReportEvent is what happens to a window's report.
type ReportEvent string

// The events.
const (
	ReportFixed    ReportEvent = "fixed"
	ReportSent     ReportEvent = "sent"
	ReportAccepted ReportEvent = "accepted"
	ReportLate     ReportEvent = "late"
	ReportMissed   ReportEvent = "missed"
)

// ReporterConfig configures a Reporter. Fields without a default are required.
type ReporterConfig struct {
	VM      call.VMID
	Holder  *Holder
	Service kvs.Service
	// Report is API.ReportUsage.
	Report func(ctx context.Context, p duty.Permit, r usage.Report) error
	// Counter has this process's counts, Incarnation differs for each start of the process.
	Counter     *usage.Counter
	Incarnation uint64
	// VMs returns the other VMs that are known.
	VMs func() []call.VMID
	// Now is the clock, TrueNow the same corrected by what is known of the other VMs' clocks.
	Now, TrueNow func() time.Time
	// Window is the length of a window, Late how long after its end a report is due. CallTime
	// limits a call to the platform.
	Window, Late, CallTime time.Duration
	// Era returns the greatest era of the store that has been seen; it may be nil.
	Era func() int64
	// Observe is called with each event. It may be nil.
	Observe func(ReportEvent)
	Log     logrus.FieldLogger
}

// Defaults returns the configuration with unset fields set to their defaults.
func (c ReporterConfig) Defaults() ReporterConfig {
	c.Window, c.Late = cmp.Or(c.Window, defaultWindow), cmp.Or(c.Late, defaultLate)
	// A third of the lease is left between two renewals and the lease's margin.
	c.CallTime = cmp.Or(c.CallTime, defaultLease/renewDivisor)
	if c.Observe == nil {
		c.Observe = func(ReportEvent) {}
	}
	return c
}

// Validate checks the configuration.
//
// Errors: NotValid with the fields.
func (c ReporterConfig) Validate() error {
	switch {
	case c.VM == "" || c.Holder == nil || c.Service.Transact == nil || c.Report == nil || c.Counter == nil || c.VMs == nil || c.Now == nil || c.TrueNow == nil || c.Log == nil:
		return errors.NotValidf("ReporterConfig: VM, Holder, Service, Report, Counter, VMs, Now, TrueNow or Log is not set (all are required)")
	case c.Window < time.Millisecond || c.Late < 2*c.CallTime || c.CallTime <= 0:
		return errors.NotValidf("ReporterConfig: Window %s, Late %s, CallTime %s (Window at least 1ms, CallTime above 0, Late at least twice CallTime)", c.Window, c.Late, c.CallTime)
	}
	return nil
}

// pendingReport is a report that the platform has not accepted yet.
type pendingReport struct {
	report usage.Report
	// value is what is stored, or has to be.
	value  []byte
	stored bool
	// retryAt is the time of the next attempt after a failed one. sending is true during a call.
	retryAt  time.Time
	pause    time.Duration
	sending  bool
	attempts int
	// ranLate is true once an attempt has been made after the report was due.
	ranLate bool
	lastErr error
}

// Reporter reports usage while this VM holds the lease.
type Reporter struct {
	config ReporterConfig
	wake   chan struct{}
	first  int64
	// done is the last window whose counts are in the store, or given up.
	done atomic.Int64

	mu    sync.Mutex
	table *usage.Table

	// The fields below belong to Run, sendMu guards those that calls under way change.
	token  int64
	loaded bool
	era    int64
	// restoredIn is the window in which a restore of the store was noticed; zero if there was none.
	restoredIn int64
	// fixed is the last window that is fixed on this VM, if not yet in the store, or given up.
	fixed   int64
	lease   kvs.LeaseID
	leaseAt time.Time
	storeAt time.Time
	sendMu  sync.Mutex
	pending map[int64]*pendingReport
	// closed holds the windows that this VM has seen accepted, or has given up.
	closed   map[int64]bool
	underWay sync.WaitGroup
}

// NewReporter returns a reporter that works while Run runs.
//
// Errors: NotValid.
func NewReporter(c ReporterConfig) (*Reporter, error) {
	c = c.Defaults()
	if err := c.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewReporter")
	}
	return &Reporter{
		config: c, wake: make(chan struct{}, 1), table: usage.NewTable(), pending: map[int64]*pendingReport{}, closed: map[int64]bool{},
		first: usage.WindowAt(c.TrueNow(), c.Window),
	}, nil
}

// Tick wakes Run. It returns at once.
func (r *Reporter) Tick(time.Time) {
	select {
	case r.wake <- struct{}{}:
	default:
	}
}

// Run reports usage until ctx ends.
func (r *Reporter) Run(ctx context.Context) error {
	defer r.underWay.Wait()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-r.wake:
			r.step(ctx)
		}
	}
}

// Merge adds the counts of a source. They are also kept on a VM that is not the holder, for the
// case that it becomes the holder after this source has ended.
func (r *Reporter) Merge(from usage.Source, windows []usage.Window) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Merge(usage.WindowAt(r.config.TrueNow(), r.config.Window), from, windows)
}

// DoneUntil returns the last window whose counts are not needed any more.
func (r *Reporter) DoneUntil() int64 { return r.done.Load() }

// SetDone records that the windows up to one are fixed, as a holder has told.
func (r *Reporter) SetDone(until int64) {
	if until > usage.WindowAt(r.config.TrueNow(), r.config.Window)+1 {
		// Only a clock that is far ahead tells this.
		return
	}
	for {
		before := r.done.Load()
		if until <= before {
			return
		}
		if r.done.CompareAndSwap(before, until) {
			break
		}
	}
	r.config.Counter.Done(until)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.table.Done(until)
}

// Lost returns the counts of the VMs that have sent nothing since the present window began, and so
// may not be able to send them again.
func (r *Reporter) Lost() map[usage.Source][]usage.Window {
	now := r.config.TrueNow()
	current := usage.WindowAt(now, r.config.Window)
	out := map[usage.Source][]usage.Window{}
	if now.Sub(usage.WindowEnd(current-1, r.config.Window)) < silentFor {
		return out
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, vm := range r.table.Silent(current) {
		if vm != r.config.VM {
			maps.Copy(out, r.table.Of(vm))
		}
	}
	return out
}

// step does what is due if this VM holds the lease.
func (r *Reporter) step(ctx context.Context) {
	r.noticeRestore()
	term, held := r.config.Holder.Term()
	if !held {
		r.loaded = false
		return
	}
	if term.Token != r.token {
		if term.Previous != r.token && r.restoredIn > 0 {
			r.fixed = max(r.fixed, r.restoredIn-1)
		}
		r.token, r.loaded = term.Token, false
	}
	now := r.config.Now()
	if !now.Before(r.storeAt) {
		if err := r.useStore(ctx, term.Since, term.Revision); err != nil {
			r.storeAt = r.config.Now().Add(storePause)
			r.note(logrus.WarnLevel, "store", "usage could not be read from the store or written to it", logrus.Fields{"error": err})
		}
	}
	if r.loaded {
		r.send(ctx)
	}
}

// noticeRestore records in which window the store came back from an older copy. It may have lost the
// keys of windows that ended before, so only a VM that has held the lease since knows what was reported.
func (r *Reporter) noticeRestore() {
	if r.config.Era == nil {
		return
	}
	if era := r.config.Era(); era != r.era {
		if r.era != 0 {
			r.restoredIn = usage.WindowAt(r.config.TrueNow(), r.config.Window)
		}
		r.era = era
	}
}

// useStore reads what earlier holders have fixed, once in a term, and fixes the windows that are due.
func (r *Reporter) useStore(ctx context.Context, since time.Duration, revision kvs.Revision) error {
	if !r.loaded {
		if err := r.load(ctx); err != nil {
			return errors.Trace(err)
		}
		r.loaded = true
	}
	// The present window is read before the counts, so that those of the windows before it are whole.
	current := usage.WindowAt(r.config.TrueNow(), r.config.Window)
	r.Merge(usage.Source{VM: r.config.VM, Incarnation: r.config.Incarnation}, append(r.config.Counter.Windows(), usage.Window{Window: current}))
	for {
		window, ok := r.nextWindow(current, since)
		if !ok {
			break
		}
		if err := r.fix(ctx, window, revision); err != nil {
			return errors.Trace(err)
		}
	}
	return r.storeAgain(ctx, revision)
}

// load reads the windows that earlier holders have fixed.
func (r *Reporter) load(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	snap, err := r.config.Service.List(ctx, usagePrefix)
	if err != nil {
		return errors.Annotate(err, "Reporter.load")
	}
	found, acceptedUntil, last := map[int64]*pendingReport{}, int64(0), int64(0)
	for _, entry := range snap.Entries {
		report, until, err := parseStored(entry.Key, entry.Value)
		if err != nil {
			r.note(logrus.ErrorLevel, "storeEntry", "a fixed window in the store is not valid, it is not reported", logrus.Fields{"error": err})
			continue
		}
		acceptedUntil, last = max(acceptedUntil, until), max(last, report.Window)
		found[report.Window] = &pendingReport{report: report, value: entry.Value, stored: true}
	}
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	for window, p := range r.pending {
		r.reconcile(window, p, found[window], max(acceptedUntil, last))
	}
	for window, p := range found {
		if window > acceptedUntil && r.pending[window] == nil && !r.closed[window] && !r.isOld(window) {
			r.pending[window] = p
		}
	}
	r.note(logrus.InfoLevel, "loaded", "read the windows that are fixed", logrus.Fields{"stored": len(snap.Entries), "pending": len(r.pending), "acceptedUntil": acceptedUntil, "last": last})
	r.fixed = max(r.fixed, last, r.done.Load())
	r.SetDone(last)
	return nil
}

// reconcile compares a report that this VM has fixed in an earlier term with what the store has
// for its window; last is the last window that is known to the store. sendMu is held.
func (r *Reporter) reconcile(window int64, p, found *pendingReport, last int64) {
	p.stored = found != nil
	switch {
	case found == nil && window <= last:
		r.missed(window, p, "another VM has gone on with later windows")
	case found == nil, string(found.value) == string(p.value):
		// Of a store that was restored, the same is written again.
	case p.attempts > 0:
		r.missed(window, p, "the store has other counts than this VM has sent before")
	default:
		p.report, p.value = found.report, found.value
	}
}

// isOld reports whether a window is too old to be reported.
func (r *Reporter) isOld(window int64) bool {
	return r.config.TrueNow().Sub(usage.WindowEnd(window, r.config.Window)) > giveUpAfter
}

// nextWindow returns the window before the present one that is to be fixed now, if there is one.
func (r *Reporter) nextWindow(current int64, since time.Duration) (int64, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	// Of a window that ended before this process began, and of which no VM has sent counts, nothing
	// is known; it may have been reported, and the store may have forgotten it.
	known := r.first
	if oldest, ok := r.table.Oldest(); ok {
		known = min(known, oldest)
	}
	r.fixed = max(r.fixed, r.done.Load(), known-1)
	vms := r.config.VMs()
	for {
		window := r.fixed + 1
		age := r.config.TrueNow().Sub(usage.WindowEnd(window, r.config.Window))
		if age > giveUpAfter {
			r.config.Observe(ReportMissed)
			r.note(logrus.ErrorLevel, ReportMissed, "usage of a window is not reported", logrus.Fields{"window": window, "age": age.String(), "reason": "it could not be fixed in time"})
			r.fixed = window
			continue
		}
		if window >= current {
			return 0, false
		}
		// A VM that knows no other one may not have heard of them yet.
		final := len(vms) > 0 && r.table.IsFinal(window, vms)
		return window, since >= gatherTime && (final || age >= fixAfter)
	}
}

// fix stores the counts of a window. From then on they do not change.
func (r *Reporter) fix(ctx context.Context, window int64, revision kvs.Revision) error {
	r.mu.Lock()
	report := r.table.Report(window)
	final := r.table.IsFinal(window, r.config.VMs())
	r.mu.Unlock()
	value, err := encodeStored(report, r.acceptedUntil(window))
	if err != nil {
		return errors.Annotate(err, "Reporter.fix")
	}
	p := &pendingReport{report: report, value: value}
	// Kept before the store is asked: if its answer is lost, exactly this is written again.
	r.sendMu.Lock()
	r.pending[window] = p
	r.sendMu.Unlock()
	r.fixed = window
	total := int64(0)
	for _, n := range report.Requests {
		total += n
	}
	r.config.Observe(ReportFixed)
	r.note(logrus.InfoLevel, ReportFixed, "counts of a window are fixed", logrus.Fields{
		"window": window, "teams": len(report.Requests), "requests": total, "final": final, "vms": len(r.config.VMs()) + 1, "age": r.age(window).String(),
	})
	return errors.Trace(r.store(ctx, window, p, revision))
}

// acceptedUntil returns the last window before one up to which nothing is left to report.
func (r *Reporter) acceptedUntil(window int64) int64 {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	for other := range r.pending {
		window = min(window, other)
	}
	return window - 1
}

// storeAgain stores the windows whose keys are not known to be in the store.
func (r *Reporter) storeAgain(ctx context.Context, revision kvs.Revision) error {
	for _, window := range r.pendingWindows() {
		r.sendMu.Lock()
		p := r.pending[window]
		needed := p != nil && !p.stored
		r.sendMu.Unlock()
		if needed {
			if err := r.store(ctx, window, p, revision); err != nil {
				return errors.Trace(err)
			}
		}
	}
	return nil
}

func (r *Reporter) pendingWindows() []int64 {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	return slices.Sorted(maps.Keys(r.pending))
}

// store writes the key of a window, if it does not exist and this VM still holds the lease.
func (r *Reporter) store(ctx context.Context, window int64, p *pendingReport, revision kvs.Revision) error {
	ctx, cancel := context.WithTimeout(ctx, storeTimeout)
	defer cancel()
	if r.lease == 0 || r.config.Now().Sub(r.leaseAt) > keyTTL/2 {
		asked := r.config.Now()
		lease, err := r.config.Service.Grant(ctx, keyTTL)
		if err != nil {
			return errors.Annotate(err, "Reporter.store")
		}
		r.lease, r.leaseAt = lease.ID, asked
	}
	key := usageKey(window)
	result, err := r.config.Service.Transact(ctx, kvs.Txn{
		Compares: []kvs.Compare{kvs.Absent(key), kvs.Unchanged(LeaseKey, revision)},
		Then:     []kvs.Op{kvs.Put(key, p.value, r.lease)},
	})
	if errors.Is(err, kvs.ErrLeaseLapsed) {
		r.lease = 0
	}
	if err != nil {
		return errors.Annotatef(err, "Reporter.store: window %d", window)
	}
	if !result.Succeeded {
		return errors.Trace(r.adopt(ctx, window, p))
	}
	r.sendMu.Lock()
	p.stored = true
	r.sendMu.Unlock()
	r.SetDone(window)
	return nil
}

// adopt takes over what the store has for a window, after it has refused to store this VM's counts.
func (r *Reporter) adopt(ctx context.Context, window int64, p *pendingReport) error {
	found, err := r.config.Service.Get(ctx, usageKey(window))
	if err != nil {
		return errors.Annotatef(err, "Reporter.adopt: window %d", window)
	}
	if !found.Found {
		if term, held := r.config.Holder.Term(); held {
			r.config.Holder.Doubt(duty.Permit{Token: term.Token})
		}
		return errors.Annotatef(kvs.ErrLeaseLapsed, "Reporter.adopt: window %d: the store refuses the counts, the lease may be another VM's", window)
	}
	report, _, err := parseStored(found.Entry.Key, found.Entry.Value)
	if err != nil {
		return errors.Annotate(err, "Reporter.adopt")
	}
	r.SetDone(window)
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	if p.attempts > 0 && string(found.Entry.Value) != string(p.value) {
		r.missed(window, p, "the store has other counts than this VM has sent before")
		return nil
	}
	p.report, p.value, p.stored = report, found.Entry.Value, true
	return nil
}

func (r *Reporter) age(window int64) time.Duration {
	return r.config.TrueNow().Sub(usage.WindowEnd(window, r.config.Window))
}

// send begins the calls that are due.
func (r *Reporter) send(ctx context.Context) {
	now := r.config.Now()
	sending := 0
	for _, window := range r.pendingWindows() {
		r.sendMu.Lock()
		p := r.pending[window]
		switch {
		case p == nil:
		case p.sending:
			sending++
		case r.age(window) > r.config.Late && p.ranLate || r.isOld(window):
			r.missed(window, p, "it was not accepted in time")
		case p.stored && !now.Before(p.retryAt) && sending < maxSending:
			if r.begin(ctx, window, p) {
				sending++
			}
		}
		r.sendMu.Unlock()
	}
}

// begin begins a call if the lease covers it; sendMu is held.
func (r *Reporter) begin(ctx context.Context, window int64, p *pendingReport) bool {
	permit, ok := r.config.Holder.Permit(r.config.Now(), r.config.CallTime)
	if !ok {
		return false
	}
	p.sending, p.attempts = true, p.attempts+1
	p.ranLate = r.age(window) > r.config.Late
	r.config.Observe(ReportSent)
	report := p.report
	r.underWay.Go(func() {
		ctx, cancel := context.WithTimeout(ctx, r.config.CallTime)
		defer cancel()
		began := r.config.Now()
		err := r.config.Report(ctx, permit, report)
		r.ended(window, p, permit, r.config.Now().Sub(began), err)
	})
	return true
}

// ended handles the result of a call.
func (r *Reporter) ended(window int64, p *pendingReport, permit duty.Permit, took time.Duration, err error) {
	r.sendMu.Lock()
	defer r.sendMu.Unlock()
	p.sending, p.lastErr = false, err
	fields := logrus.Fields{"window": window, "token": permit.Token, "attempt": p.attempts, "age": r.age(window).String(), "took": took.String()}
	if err == nil {
		event := ReportAccepted
		if r.age(window) > r.config.Late {
			event = ReportLate
		}
		r.config.Observe(event)
		r.note(logrus.InfoLevel, event, "report of usage was accepted", fields)
		r.close(window)
		return
	}
	p.pause = min(max(2*p.pause, minRetryPause), maxRetryPause)
	p.retryAt = r.config.Now().Add(p.pause)
	fields["error"] = err
	r.note(logrus.WarnLevel, ReportSent, "report of usage was not accepted", fields)
	if errors.Is(err, duty.ErrFenced) {
		r.config.Holder.Refused(permit)
	}
}

// close drops a report for good; sendMu is held.
func (r *Reporter) close(window int64) {
	delete(r.pending, window)
	r.closed[window] = true
	for other := range r.closed {
		if r.isOld(other) {
			delete(r.closed, other)
		}
	}
}

// missed records that a report is given up; sendMu is held.
func (r *Reporter) missed(window int64, p *pendingReport, reason string) {
	r.config.Observe(ReportMissed)
	r.note(logrus.ErrorLevel, ReportMissed, "usage of a window is not reported", logrus.Fields{"window": window, "attempts": p.attempts, "age": r.age(window).String(), "reason": reason, "error": p.lastErr})
	r.close(window)
}

// note logs what happens to the reports.
func (r *Reporter) note(level logrus.Level, change ReportEvent, message string, fields logrus.Fields) {
	r.config.Log.WithFields(logrus.Fields{"event": "usage", "change": change, "vm": r.config.VM}).WithFields(fields).Log(level, message)
}
