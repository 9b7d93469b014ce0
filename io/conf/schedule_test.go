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

// The kinds of action. Faults last until "heal".
var actionKinds = []string{
	"change", "change", "change", "change", "disconnect", "isolate", "outage", "silent", "loseReplies",
	"loseRequests", "loseEvents", "older", "diverge", "restart", "compact", "heal", "heal",
}

// settleTime is the time after the last fault within which the VMs and the platform
// have to agree: two polls, the maximum jitter of a restore and the time for its
// result to spread.
const settleTime = 2*defaultPollInterval + defaultRestoreJitter + 4*time.Second

// backupEvery is the number of changes between backups of the platform.
const backupEvery = 3

// schedule runs actions on a cluster and records the accepted changes.
type schedule struct {
	cluster  *cluster
	faults   fakekv.Faults
	accepted map[string]bool
	changes  int
}

// Under faults in any order, the settings in force on a VM never revert, and after
// the faults all VMs and the platform agree and have every accepted change that a
// VM or the platform still had.
func TestFollowersUnderRandomFaults(t *testing.T) {
	actions := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) action {
		return action{
			Kind:  rapid.SampledFrom(actionKinds).Draw(t, "kind"),
			VM:    rapid.SampledFrom(vmIDs).Draw(t, "vm"),
			Pause: time.Duration(rapid.IntRange(0, 5000).Draw(t, "pause")) * time.Millisecond,
		}
	}), 1, 25)
	rapid.Check(t, func(rt *rapid.T) {
		steps := actions.Draw(rt, "actions")
		var failure error
		synctest.Test(t, func(t *testing.T) {
			s := &schedule{cluster: newCluster(t), accepted: map[string]bool{}}
			failure = s.run(steps)
			for _, id := range s.cluster.ids() {
				s.cluster.stop(id)
			}
			synctest.Wait()
		})
		if failure != nil {
			rt.Fatal(failure)
		}
	})
}

func (s *schedule) run(steps []action) error {
	for _, id := range vmIDs {
		s.cluster.start(id)
	}
	time.Sleep(3 * time.Second)
	for _, step := range steps {
		if err := s.do(step); err != nil {
			return err
		}
		time.Sleep(step.Pause)
	}
	s.heal()
	time.Sleep(settleTime)
	return s.checkAgreement()
}

func (s *schedule) do(a action) error {
	switch a.Kind {
	case "change":
		return s.change(a.VM)
	case "disconnect":
		s.cluster.setDisconnected(true, a.VM)
	case "isolate":
		s.cluster.setIsolated(true, a.VM)
	case "outage":
		s.faults.Outage = true
	case "silent":
		s.faults.SilentWatches = true
	case "loseReplies":
		s.faults.LoseReplies = 2
	case "loseRequests":
		s.faults.LoseRequests = 2
	case "loseEvents":
		s.cluster.loseNextBatch(a.VM)
	case "older":
		s.cluster.fake.Restore()
		s.dropLostChanges()
	case "diverge":
		return s.diverge(a)
	case "restart":
		s.cluster.stop(a.VM)
		s.cluster.start(a.VM)
		s.dropLostChanges()
	case "compact":
		s.cluster.fake.Compact()
	case "heal":
		s.heal()
	}
	s.cluster.fake.SetFaults(s.faults)
	s.faults.LoseReplies, s.faults.LoseRequests = 0, 0
	return nil
}

// diverge makes the platform come back with older data, restarts one VM that alone
// can reach it, and submits a few changes through that VM.
func (s *schedule) diverge(a action) error {
	vm := a.VM
	s.cluster.setDisconnected(true, vmIDs...)
	s.cluster.setIsolated(true, vm)
	s.cluster.fake.Restore()
	s.cluster.stop(vm)
	s.cluster.start(vm)
	s.cluster.setDisconnected(false, vm)
	s.dropLostChanges()
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
	s.cluster.fake.SetFaults(s.faults)
	s.cluster.setDisconnected(false, vmIDs...)
	s.cluster.setIsolated(false, vmIDs...)
}

// change adds a class with a new name, so that no change undoes another.
func (s *schedule) change(vm call.VMID) error {
	if s.changes++; s.changes%backupEvery == 1 {
		s.cluster.fake.Save()
	}
	name := fmt.Sprintf("c%d", s.changes)
	_, err := s.cluster.vms[vm].Submit(s.cluster.ctx, set("classes."+name, "{}"))
	var problems tree.Problems
	if errors.As(err, &problems) {
		return err
	}
	if err == nil {
		s.accepted[name] = true
	}
	return nil
}

// dropLostChanges removes from accepted the changes that neither the platform nor a
// VM has any more.
func (s *schedule) dropLostChanges() {
	loaded, err := newStore(s.cluster.fake.Service(), "test").Load(s.cluster.ctx)
	for name := range s.accepted {
		class := call.Class(name)
		found := err == nil && has(loaded.Tree, class)
		for _, v := range s.cluster.vms {
			found = found || has(v.Current().Tree, class)
		}
		if !found {
			delete(s.accepted, name)
		}
	}
}

func has(t *tree.Tree, class call.Class) bool {
	_, ok := t.Classes[class]
	return ok
}

func (s *schedule) checkAgreement() error {
	loaded, err := newStore(s.cluster.fake.Service(), "test").Load(s.cluster.ctx)
	if err != nil {
		return err
	}
	for id, v := range s.cluster.vms {
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
