package prober

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
)

// The times of the model; those of the platform are bound, contact and stretch.
const (
	modelTick       = 10 * time.Millisecond
	modelInterval   = 700 * time.Millisecond
	modelStep       = 250 * time.Millisecond
	modelGossipFrom = 30                      // VMs, from which only gossip tells of late reads beside newer ones
	modelGrace      = 2 * modelStep           // that the watches have to deliver a change themselves
	modelPause      = 400 * time.Millisecond  // between two watch calls
	modelWait       = 18 * time.Second        // after which a watch call without an answer has failed
	modelQuiet      = 16 * time.Second        // that a watch call waits without a change
	modelGossip     = 400 * time.Millisecond  // between two exchanges that a VM begins
	modelTimeout    = 2 * time.Second         // of an exchange
	modelRead       = time.Second             // of a read
	modelIsolated   = 1500 * time.Millisecond // without an answer of another VM
	modelRoles      = 500 * time.Millisecond  // between two choices of the VMs that probe
	modelLimit      = bound                   // that a watch has for a change that another VM has told of
	modelChange     = 5600 * time.Millisecond // between two changes in calm
	modelStorm      = 330 * time.Millisecond  // and in a storm
	bound           = 2 * time.Second
	contact         = 3 * time.Second
	stretched       = bound + 5*time.Second
)

// readNotice tells of a read: which VM began it when, how many changes it knew after it, and whether
// only gossip tells of it.
type readNotice struct {
	reader     call.VMID
	at         time.Time
	changes    int
	gossipOnly bool
}

// modelVM is a VM of the model.
type modelVM struct {
	VM
	schedule *Schedule
	// known is the number of changes that are in force, delivered that of the watch's answers.
	known, delivered int
	// answeredAt is when the watch call is answered, zero while it waits; dead is true if nothing will
	// come of it any more. calledAt is when it was made, nextCall when the next one is.
	dead               bool
	calledAt, nextCall time.Time
	// standsUntil is when the VM goes on; killed is true if it is then a new process. runsSince is
	// since when it has run without a break.
	standsUntil, runsSince time.Time
	killed                 bool
	// readUntil is when a read without an answer fails, passOn when a change that the watch has
	// missed is passed on.
	readUntil, passOn time.Time
	nextGossip        time.Time
	// suspectAt is when the watch is judged, after fruitless restarts.
	suspectAt time.Time
	fruitless int
	// answers counts those to the watch while every third one is lost.
	answers int
	// completeAt is when the copy was last known to be complete, told the newest read that it has heard of,
	// contactAt when another VM last answered, heardOther the newest read of another VM.
	completeAt, contactAt, heardOther time.Time
	told                              readNotice
	// scheduledAt is when the schedule was last told of the VMs.
	scheduledAt time.Time
	// unreachable holds the VMs that have not answered, failing when the call of each fails.
	unreachable map[call.VMID]bool
	failing     map[call.VMID]time.Time
	inbox       []func()
}

type model struct {
	rng     *rand.Rand
	now     time.Time
	began   time.Time
	vms     []*modelVM
	ids     []call.VMID
	changes []time.Time
	// lossy is true while the store loses answers: a share of 0.35 of all, or with third set every third
	// one to the watch of each VM. calmSince is the end of the last loss.
	lossy, third bool
	calmSince    time.Time
	// single makes the VM with the lowest id probe alone, until the others find that it does not
	// answer, and leaves watches that deliver nothing alone. ordered lets only the VMs in the order probe.
	single, ordered        bool
	watches, lists, probes int
}

func newModel(t *testing.T, seed uint64, n int, single bool) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 11)), now: time.Unix(1000, 0), single: single}
	m.began, m.calmSince = m.now, m.now.Add(-time.Hour)
	for i := range n {
		vm := &modelVM{VM: VM{ID: call.VMID(fmt.Sprintf("vm-%03d", i)), Zone: call.Zone(fmt.Sprint(i % 3)), CanRead: true}, runsSince: m.began.Add(-time.Hour)}
		m.start(t, vm)
		m.vms, m.ids = append(m.vms, vm), append(m.ids, vm.ID)
	}
	return m
}

// start makes a VM a process that has just read everything.
func (m *model) start(t *testing.T, vm *modelVM) {
	var err error
	vm.schedule, err = New(Config{Self: vm.ID, Interval: modelInterval, Step: modelStep})
	assert.NilError(t, err)
	vm.unreachable, vm.failing, vm.inbox = map[call.VMID]bool{}, map[call.VMID]time.Time{}, nil
	vm.known, vm.delivered = len(m.changes), len(m.changes)
	vm.completeAt, vm.contactAt, vm.heardOther, vm.told = m.now, m.now, time.Time{}, readNotice{}
	vm.passOn, vm.readUntil, vm.suspectAt, vm.fruitless, vm.nextCall, vm.scheduledAt = time.Time{}, time.Time{}, time.Time{}, 0, time.Time{}, time.Time{}
	m.lists++
	m.call(vm)
}

func (m *model) call(vm *modelVM) {
	m.watches++
	vm.dead, vm.calledAt = false, m.now
}

// loses reports whether an answer of the store is lost.
func (m *model) loses() bool { return m.lossy && !m.third && m.rng.Float64() < 0.35 }

// losesWatch reports whether the answer to a VM's watch is lost.
func (m *model) losesWatch(vm *modelVM) bool {
	if !m.lossy || !m.third {
		return m.loses()
	}
	vm.answers++
	return vm.answers%3 == 0
}

func (m *model) find(id call.VMID) *modelVM {
	return m.vms[slices.IndexFunc(m.vms, func(vm *modelVM) bool { return vm.ID == id })]
}

func (m *model) stands(vm *modelVM) bool { return m.now.Before(vm.standsUntil) }

// step lets a VM do what is due.
func (m *model) step(vm *modelVM) {
	inbox := vm.inbox
	vm.inbox = nil
	for _, message := range inbox {
		message()
	}
	m.poll(vm)
	m.probe(vm)
	m.exchange(vm)
	for id, at := range vm.failing {
		if !m.now.Before(at) {
			delete(vm.failing, id)
			vm.unreachable[id] = true
		}
	}
	if !m.single {
		m.suspect(vm)
	}
}

// poll follows the VM's own watch.
func (m *model) poll(vm *modelVM) {
	waited := m.now.Sub(vm.calledAt)
	switch {
	case m.now.Before(vm.nextCall):
	case vm.dead && waited >= modelWait:
		m.lists++
		vm.completeAt = m.now
		vm.known, vm.delivered = len(m.changes), len(m.changes)
		m.call(vm)
	case vm.dead:
	case vm.delivered < len(m.changes) || waited >= modelQuiet:
		if m.losesWatch(vm) {
			vm.dead = true
			return
		}
		if vm.delivered < len(m.changes) {
			vm.nextCall = m.now.Add(modelPause)
		}
		vm.known, vm.delivered, vm.completeAt = len(m.changes), len(m.changes), m.now
		m.call(vm)
	}
}

// due reports whether the VM reads the store's revision.
func (m *model) due(vm *modelVM) (Reason, bool) {
	if m.now.Sub(vm.scheduledAt) >= modelRoles {
		vm.scheduledAt = m.now
		vm.schedule.SetVMs(m.seenBy(vm))
	}
	if m.single {
		reason, due := vm.schedule.Due(m.now, State{})
		return reason, due && reason == ReasonFirst
	}
	if m.ordered {
		reason, due := vm.schedule.Due(m.now, State{Isolated: m.now.Sub(vm.contactAt) >= modelIsolated})
		return reason, due && reason != ReasonLate
	}
	return vm.schedule.Due(m.now, State{Isolated: m.now.Sub(vm.contactAt) >= modelIsolated, Age: m.now.Sub(vm.completeAt)})
}

// seenBy returns the VMs as one of them knows them.
func (m *model) seenBy(vm *modelVM) []VM {
	out := make([]VM, 0, len(m.vms))
	for _, other := range m.vms {
		seen := other.VM
		seen.Unreachable = vm.unreachable[other.ID]
		out = append(out, seen)
	}
	return out
}

func (m *model) probe(vm *modelVM) {
	if m.now.Before(vm.readUntil) {
		return
	}
	if reason, due := m.due(vm); due {
		m.probes++
		if m.loses() {
			vm.readUntil = m.now.Add(modelRead)
			vm.schedule.Answered(false)
			return
		}
		vm.schedule.Answered(true)
		switch {
		case vm.known == len(m.changes):
			vm.completeAt = m.now
		case vm.passOn.IsZero():
			m.lists++
			vm.passOn = m.now
			if reason == ReasonFirst && m.now.Sub(vm.completeAt) < vm.schedule.config.MaxAge() {
				vm.passOn = m.now.Add(modelGrace)
			}
		}
		if !m.single {
			m.tell(vm, reason == ReasonLate && len(m.vms) >= modelGossipFrom && m.now.Sub(vm.heardOther) < modelInterval+modelStep)
		}
	}
	if vm.passOn.IsZero() || m.now.Before(vm.passOn) {
		return
	}
	vm.passOn = time.Time{}
	vm.completeAt = m.now
	if vm.known == len(m.changes) {
		return
	}
	vm.known, vm.delivered = len(m.changes), len(m.changes)
	m.call(vm)
	if m.single {
		m.lists++
	}
	for _, other := range m.vms {
		if other != vm {
			m.send(vm, other.ID, func(to *modelVM) { to.known = max(to.known, vm.known) })
		}
	}
}

// tell tells the other VMs of a read that has just been answered.
func (m *model) tell(vm *modelVM, gossipOnly bool) {
	vm.told = readNotice{vm.ID, m.now, vm.known, gossipOnly}
	if vm.completeAt.Before(m.now) {
		vm.told.changes = len(m.changes) // the copy lacks a change, and so confirms none that does
	}
	if !gossipOnly {
		m.passOn(vm)
	}
}

// passOn tells a VM's children in the tree of the newest read that it knows.
func (m *model) passOn(vm *modelVM) {
	notice, known := vm.told, vm.known
	for _, id := range Children(m.ids, notice.reader, vm.ID, uint64(notice.at.UnixMilli())) {
		m.send(vm, id, func(to *modelVM) { m.hear(to, notice, known) })
	}
}

// hear takes what another VM tells of a read, and passes it on if it is news. known is what the sender
// knows: the configuration is fetched from it if it is newer.
func (m *model) hear(vm *modelVM, notice readNotice, known int) {
	vm.known = max(vm.known, known)
	if !notice.at.After(vm.told.at) {
		return
	}
	vm.told, vm.heardOther = notice, notice.at
	vm.schedule.Heard(notice.at)
	if vm.known >= notice.changes && notice.at.After(vm.completeAt) {
		vm.completeAt = notice.at
	}
	if !notice.gossipOnly {
		m.passOn(vm)
	}
}

// send delivers a message in the next tick, or when the VM goes on. One that is not answered marks the
// VM as unreachable.
func (m *model) send(from *modelVM, id call.VMID, apply func(to *modelVM)) {
	to := m.find(id)
	if !m.stands(to) {
		from.contactAt = m.now
		delete(from.unreachable, id)
		delete(from.failing, id)
	} else if _, waiting := from.failing[id]; !waiting {
		from.failing[id] = m.now.Add(modelTimeout)
	}
	if !to.killed {
		to.inbox = append(to.inbox, func() { apply(to) })
	}
}

// exchange gossips with a random VM.
func (m *model) exchange(vm *modelVM) {
	if m.now.Before(vm.nextGossip) || len(m.vms) == 1 {
		return
	}
	vm.nextGossip = m.now.Add(modelGossip)
	to := m.vms[m.rng.IntN(len(m.vms))]
	if to == vm {
		return
	}
	m.send(vm, to.ID, func(to *modelVM) {
		to.known = max(to.known, vm.known)
		vm.known = to.known
		if !m.single {
			m.hear(to, vm.told, vm.known)
			m.hear(vm, to.told, to.known)
		}
	})
}

// suspect restarts the watch if another VM has told of a change that it does not deliver.
func (m *model) suspect(vm *modelVM) {
	switch {
	case vm.known <= vm.delivered:
		vm.suspectAt, vm.fruitless = time.Time{}, 0
	case vm.suspectAt.IsZero():
		vm.suspectAt = m.now.Add(modelLimit << min(vm.fruitless, 1))
	case !m.now.Before(vm.suspectAt):
		vm.suspectAt = time.Time{}
		vm.fruitless++
		m.call(vm)
	}
}

// run advances the model and checks that each VM in touch has each change in time.
func (m *model) run(t *testing.T, d time.Duration, event func()) error {
	for end := m.now.Add(d); m.now.Before(end); m.now = m.now.Add(modelTick) {
		event()
		for _, vm := range m.vms {
			if m.stands(vm) {
				continue
			}
			if vm.killed {
				vm.killed = false
				m.start(t, vm)
			}
			m.step(vm)
		}
		if err := m.check(); err != nil {
			return err
		}
	}
	return nil
}

func (m *model) check() error {
	for i, at := range m.changes {
		limit := stretched
		if !m.lossy && at.Sub(m.calmSince) >= contact {
			limit = bound
		}
		if m.now.Sub(at) < limit || m.now.Sub(at) > limit+time.Second {
			continue
		}
		for _, vm := range m.vms {
			if !m.stands(vm) && !vm.runsSince.After(at.Add(-contact)) && vm.known <= i {
				return fmt.Errorf("%s has not heard of change %d %s after it, %s after the start", vm.ID, i, m.now.Sub(at), m.now.Sub(m.began))
			}
		}
	}
	return nil
}

// halt makes a VM stand still for a time, or ends its process.
func (m *model) halt(vm *modelVM, d time.Duration, kill bool) {
	vm.standsUntil, vm.killed = m.now.Add(d), kill
	vm.runsSince = vm.standsUntil
	if kill {
		vm.inbox = nil
	}
}

// weather returns the events of a run: changes, alone and in storms, times in which the store loses
// answers, and VMs that stand still, are killed or are started again, some at a time at most and those
// that probe first more often than the others. After a loss, some of these, or of all, may stand still
// together right before a change: the first one, or with any set any of them but one.
func (m *model) weather(most int, any bool) func() {
	nextChange, nextLoss, nextHalt := m.now.Add(time.Second), m.now.Add(2*time.Second), m.now.Add(2*time.Second)
	var lossEnds, aimAt time.Time
	order := Select(candidates(m.vms))
	between := func(low, high int) time.Duration {
		return time.Duration(low+m.rng.IntN(high-low)) * time.Millisecond
	}
	change := func() {
		m.changes = append(m.changes, m.now)
		nextChange = m.now.Add(between(300, 6000))
		if m.lossy {
			nextChange = m.now.Add(modelStorm)
		}
	}
	return func() {
		switch {
		case !m.lossy && !m.now.Before(nextLoss):
			m.lossy, m.third, lossEnds, aimAt = true, m.rng.IntN(2) == 0, m.now.Add(4500*time.Millisecond), time.Time{}
			change()
		case m.lossy && !m.now.Before(lossEnds):
			m.lossy, m.calmSince = false, m.now
			nextLoss = m.now.Add(between(6000, 20000))
			if m.rng.IntN(2) == 0 {
				aimAt = m.now.Add(contact + between(0, 700))
				nextChange, nextHalt = aimAt.Add(between(0, 300)), aimAt.Add(contact)
			}
		}
		if !m.now.Before(nextChange) {
			change()
		}
		if !aimAt.IsZero() && !m.now.Before(aimAt) {
			aimAt = time.Time{}
			chosen := order[:1]
			if most := len(m.vms) - 1; any {
				// Those that probe first, or others.
				chosen = append(slices.Clone(order), m.ids...)
				if m.rng.IntN(2) == 0 {
					m.rng.Shuffle(len(chosen), func(i, j int) { chosen[i], chosen[j] = chosen[j], chosen[i] })
				}
				chosen = chosen[:1+m.rng.IntN(most)]
				// The last answers to all watches were lost, or to most.
				sound := m.rng.IntN(2)
				for _, vm := range m.vms {
					vm.dead = vm.dead || m.rng.IntN(4) >= sound
				}
			}
			for _, id := range chosen {
				m.halt(m.find(id), 4*time.Second, false)
			}
		}
		if m.now.Before(nextHalt) {
			return
		}
		nextHalt = m.now.Add(between(200, 4000))
		halted := 0
		for _, vm := range m.vms {
			if m.stands(vm) {
				halted++
			}
		}
		vm := m.vms[m.rng.IntN(len(m.vms))]
		if m.rng.IntN(2) == 0 {
			vm = m.find(order[m.rng.IntN(len(order))])
		}
		if halted < most && !m.stands(vm) {
			m.halt(vm, between(100, 4000), m.rng.IntN(3) == 0)
		}
	}
}

func candidates(vms []*modelVM) []VM {
	var out []VM
	for _, vm := range vms {
		out = append(out, vm.VM)
	}
	return out
}

// Guards against VMs that hear of changes only through one VM, which may stand still: random losses of
// answers, storms of changes, and any VMs but one that stand still, are killed or restarted.
func TestChangesReachVMsInTouch(t *testing.T) {
	for _, n := range []int{2, 3, 4, 9, 30} {
		for i := range 40 {
			m := newModel(t, gwtest.Seed()+uint64(i), n, false)
			most := 1 + i%(n-1)
			assert.NilError(t, m.run(t, 60*time.Second, m.weather(most, true)), "%d VMs, %d still, seed %d", n, most, gwtest.Seed()+uint64(i))
		}
	}
}

// Guards against a model that would not see the fault: with a single VM that probes, changes are late.
func TestModelSeesASingleProber(t *testing.T) {
	late := 0
	for i := range 40 {
		m := newModel(t, gwtest.Seed()+uint64(i), 9, true)
		if m.run(t, 60*time.Second, m.weather(2, false)) != nil {
			late++
		}
	}
	assert.Assert(t, late > 20, "changes were late in %d of 40 runs", late)
}

// Guards against a model that would not see what three VMs do that stand still together, while only they
// may probe.
func TestModelSeesThreeProbers(t *testing.T) {
	late := 0
	for i := range 120 {
		m := newModel(t, gwtest.Seed()+uint64(i), 9, false)
		m.ordered = true
		if m.run(t, 60*time.Second, m.weather(8, true)) != nil {
			late++
		}
	}
	assert.Assert(t, late > 3, "changes were late in %d of 120 runs", late)
}

// Counts the calls of the store by VM and minute, with a single VM that probes and with several that
// may, in calm and while answers are lost. Guards against a cost that grows with the fleet, and against
// restarts of watches that cost more than the watches would have if no answer had been lost.
func TestCallsOfTheStore(t *testing.T) {
	for _, n := range []int{3, 9, 30, 295} {
		count := func(storms, lossy, single bool) float64 {
			const minutes = 2
			m := newModel(t, gwtest.Seed(), n, single)
			m.watches, m.lists = 0, 0
			next := m.now.Add(modelChange)
			_ = m.run(t, minutes*time.Minute, func() {
				at := m.now.Sub(m.began) % (30 * time.Second)
				storm := storms && at >= 10*time.Second && at < 14500*time.Millisecond
				m.lossy = lossy && storm
				if !m.now.Before(next) {
					m.changes = append(m.changes, m.now)
					next = m.now.Add(modelChange)
					if storm {
						next = m.now.Add(modelStorm)
					}
				}
				m.calmSince = m.now // the bound does not hold for a single VM
			})
			share := func(calls int) float64 { return float64(calls) / float64(n) / minutes }
			t.Logf("%3d VMs, storms %5v, answers lost %5v, single prober %5v: %6.2f watches, %5.2f lists, %6.2f probes a VM and minute",
				n, storms, lossy, single, share(m.watches), share(m.lists), share(m.probes))
			return share(m.watches + m.lists + m.probes)
		}
		before, after := count(false, false, true), count(false, false, false)
		assert.Assert(t, after <= before, "%d VMs in calm: %.2f calls a VM and minute in place of %.2f", n, after, before)
		count(true, true, true)
		sound, lost := count(true, false, false), count(true, true, false)
		assert.Assert(t, lost <= 1.1*sound, "%d VMs with lost answers: %.2f calls a VM and minute in place of %.2f", n, lost, sound)
	}
}
