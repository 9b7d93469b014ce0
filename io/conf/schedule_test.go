package conf

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/juju/errors"
	"pgregory.net/rapid"

	"gentianwell/core/call"
	"gentianwell/core/tree"
	"gentianwell/io/fakekv"
)

// action is one step of a random schedule.
type action struct {
	Kind  string
	VM    call.VMID
	Pause time.Duration
}

// The kinds of action. Those that bring a fault last until "heal".
var actionKinds = []string{
	"change", "change", "change", "change", "cutOff", "isolate", "outage", "silent", "loseReplies",
	"loseRequests", "loseEvents", "older", "diverge", "restart", "compact", "heal", "heal",
}

// healed is the time after the last fault within which all have to agree: two
// polls, the longest jitter of a restore and the spreading of its result.
const healed = 2*defaultPollInterval + defaultRestoreJitter + 4*time.Second

// backupEvery is the number of changes between backups of the platform.
const backupEvery = 3

// schedule runs actions on a world and keeps what was accepted.
type schedule struct {
	w        *world
	faults   fakekv.Faults
	accepted map[string]bool
	changes  int
}

// Whatever faults come in whatever order: what a VM has in force never reverts,
// and once the faults are over all VMs and the platform have every accepted
// change that somebody still had.
func TestFollowersUnderRandomFaults(t *testing.T) {
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:  rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			VM:    rapid.SampledFrom(three).Draw(t, "vm"),
			Pause: time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 25)
	rapid.Check(t, func(rt *rapid.T) {
		steps := actions.Draw(rt, "actions")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			s := &schedule{w: newWorld(t), accepted: map[string]bool{}}
			failure = s.run(steps)
			for _, id := range s.w.ids() {
				s.w.stop(id)
			}
			synctest.Wait()
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func (s *schedule) run(steps []action) error {
	for _, id := range three {
		s.w.start(id)
	}
	time.Sleep(3 * time.Second)
	for _, step := range steps {
		if err := s.do(step); err != nil {
			return err
		}
		time.Sleep(step.Pause)
	}
	s.heal()
	time.Sleep(healed)
	return s.agree()
}

func (s *schedule) do(a action) error {
	switch a.Kind {
	case "change":
		return s.change(a.VM)
	case "cutOff":
		s.w.cutOff(true, a.VM)
	case "isolate":
		s.w.isolate(true, a.VM)
	case "outage":
		s.faults.Outage = true
	case "silent":
		s.faults.SilentWatches = true
	case "loseReplies":
		s.faults.LoseReplies = 2
	case "loseRequests":
		s.faults.LoseRequests = 2
	case "loseEvents":
		s.w.lose(a.VM)
	case "older":
		s.w.fake.Restore()
		s.forget()
	case "diverge":
		return s.diverge(a)
	case "restart":
		s.w.stop(a.VM)
		s.w.start(a.VM)
		s.forget()
	case "compact":
		s.w.fake.Compact()
	case "heal":
		s.heal()
	}
	s.w.fake.SetFaults(s.faults)
	s.faults.LoseReplies, s.faults.LoseRequests = 0, 0
	return nil
}

// diverge has a platform that came back older known to a fresh VM alone, through
// which it accepts a few changes.
func (s *schedule) diverge(a action) error {
	vm := a.VM
	s.w.cutOff(true, three...)
	s.w.isolate(true, vm)
	s.w.fake.Restore()
	s.w.stop(vm)
	s.w.start(vm)
	s.w.cutOff(false, vm)
	s.forget()
	time.Sleep(defaultStartWait + time.Second)
	for range 1 + int(a.Pause/time.Millisecond)%backupEvery {
		if err := s.change(vm); err != nil {
			return err
		}
	}
	return nil
}

func (s *schedule) heal() {
	s.faults = fakekv.Faults{}
	s.w.fake.SetFaults(s.faults)
	s.w.cutOff(false, three...)
	s.w.isolate(false, three...)
}

// change adds a class of its own, so that no change undoes another.
func (s *schedule) change(vm call.VMID) error {
	if s.changes++; s.changes%backupEvery == 1 {
		s.w.fake.Save()
	}
	name := fmt.Sprintf("c%d", s.changes)
	_, err := s.w.vms[vm].Submit(s.w.ctx, set("classes."+name, "{}"))
	var problems tree.Problems
	if errors.As(err, &problems) {
		return err
	}
	if err == nil {
		s.accepted[name] = true
	}
	return nil
}

// forget drops the changes that nobody has any more.
func (s *schedule) forget() {
	loaded, err := newStore(s.w.fake.Service(), "test").Load(s.w.ctx)
	for name := range s.accepted {
		class := call.Class(name)
		held := err == nil && has(loaded.Tree, class)
		for _, v := range s.w.vms {
			held = held || has(v.Current().Tree, class)
		}
		if !held {
			delete(s.accepted, name)
		}
	}
}

func has(t *tree.Tree, class call.Class) bool {
	_, ok := t.Classes[class]
	return ok
}

func (s *schedule) agree() error {
	loaded, err := newStore(s.w.fake.Service(), "test").Load(s.w.ctx)
	if err != nil {
		return err
	}
	for id, v := range s.w.vms {
		if v.Current().ChangeRef != loaded.ChangeRef {
			return errors.Errorf("VM %s is at %s, the platform at %s", id, v.Current().ChangeRef, loaded.ChangeRef)
		}
		for i := 1; i < len(v.heads); i++ {
			if before, after := v.heads[i-1], v.heads[i]; before.Compare(after).Relation != tree.RelationAhead {
				return errors.Errorf("VM %s went from %s to %s", id, before.ChangeRef, after.ChangeRef)
			}
		}
	}
	for name := range s.accepted {
		if !has(loaded.Tree, call.Class(name)) {
			return errors.Errorf("%s was accepted and is lost at %s", name, loaded.ChangeRef)
		}
	}
	return nil
}
