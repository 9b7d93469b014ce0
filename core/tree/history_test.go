package tree

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"gentianwell/core/call"

	_ "gentianwell/core/gwtest"
)

// fleet models VMs that exchange settings with each other and with a platform,
// which may be restored from an older backup. Only Head.Compare and
// Document.Merge decide which document a VM has in force.
type fleet struct {
	platform Document
	records  Records
	// backup is an earlier state that the platform may be restored to.
	backup        Document
	backupRecords Records
	vms           []Document
	// everInForce are the classes that some VM has had in force.
	everInForce map[string]bool
	changes     int
}

const fleetSize = 3

func newFleet() *fleet {
	empty := Document{Tree: (&Tree{}).clone()}
	return &fleet{
		platform: empty, backup: empty, vms: []Document{empty, empty, empty},
		everInForce: map[string]bool{},
	}
}

// offer makes a VM adopt a document if its head is ahead, as a follower does.
func (f *fleet) offer(t *rapid.T, vm int, d Document) Relation {
	before := f.vms[vm]
	relation := before.Compare(d.Head).Relation
	if relation != RelationAhead {
		return relation
	}
	f.vms[vm] = d
	if d.Version <= before.Version {
		t.Fatalf("VM %d went from %s to %s", vm, before.ChangeRef, d.ChangeRef)
	}
	for key := range before.Tree.Classes {
		if _, ok := d.Tree.Classes[key]; !ok {
			t.Fatalf("VM %d lost class %s from %s to %s", vm, key, before.ChangeRef, d.ChangeRef)
		}
	}
	for key := range d.Tree.Classes {
		f.everInForce[string(key)] = true
	}
	return relation
}

// change commits a change to the platform through a VM that is at the platform's
// head or behind it; through other VMs it does nothing.
func (f *fleet) change(t *rapid.T, vm int) {
	if v := f.vms[vm].Compare(f.platform.Head).Relation; v != RelationSame && v != RelationAhead {
		return
	}
	f.changes++
	name := fmt.Sprintf("c%d", f.changes)
	edits := Edits{{Path: "classes." + name, Value: []byte("{}")}}
	next, err := f.platform.Tree.Apply(edits)
	if err != nil {
		t.Fatal(err)
	}
	head := f.platform.Next(name, "anna", time.Time{})
	f.platform = Document{Head: head, Tree: next}
	f.records = append(f.records[:len(f.records):len(f.records)], Record{ChangeRef: head.ChangeRef, Edits: edits})
	f.offer(t, vm, f.platform)
}

// restore writes the changes that a VM has in force and the platform lacks back
// to the platform; diverged documents are merged.
func (f *fleet) restore(t *rapid.T, vm int) {
	present, inForce := f.platform, f.vms[vm]
	next := inForce
	switch inForce.Compare(present.Head).Relation {
	case RelationSame, RelationAhead:
		return
	case RelationDiverged:
		f.changes++
		merged := inForce.Merge(present, MergeOptions{Records: f.records, ChangeID: fmt.Sprintf("m%d", f.changes)})
		if len(merged.Dropped) > 0 {
			t.Fatalf("merge of %s and %s dropped %v", inForce.ChangeRef, present.ChangeRef, merged.Dropped)
		}
		next = merged.Document
	}
	record := Record{ChangeRef: next.ChangeRef, Edits: present.Tree.Diff(next.Tree), Covers: next.ChangesNotIn(present.Head)}
	f.platform = next
	f.records = append(f.records[:len(f.records):len(f.records)], record)
	f.offer(t, vm, next)
}

// converge exchanges documents between the platform and all VMs, then checks that
// all have the same change and that no change in force was lost.
func (f *fleet) converge(t *rapid.T) {
	for range 2 * fleetSize {
		for vm := range f.vms {
			f.restore(t, vm)
			f.offer(t, vm, f.platform)
		}
	}
	for vm, d := range f.vms {
		if d.ChangeRef != f.platform.ChangeRef {
			t.Fatalf("VM %d is at %s after converging, the platform is at %s", vm, d.ChangeRef, f.platform.ChangeRef)
		}
	}
	for key := range f.everInForce {
		if _, ok := f.platform.Tree.Classes[call.Class(key)]; !ok {
			t.Fatalf("class %s was in force and is missing at %s", key, f.platform.ChangeRef)
		}
	}
}

// For any order of changes, gossip, restarts, backups and restores: no VM goes
// back to an older or a diverged head, and no change that was in force anywhere
// is lost while a VM that had it is still running.
func TestHistoriesNeverRevert(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := newFleet()
		vm := rapid.IntRange(0, fleetSize-1)
		t.Repeat(map[string]func(*rapid.T){
			"change":   func(t *rapid.T) { f.change(t, vm.Draw(t, "vm")) },
			"platform": func(t *rapid.T) { f.offer(t, vm.Draw(t, "vm"), f.platform) },
			"peer":     func(t *rapid.T) { f.offer(t, vm.Draw(t, "to"), f.vms[vm.Draw(t, "from")]) },
			"restore":  func(t *rapid.T) { f.restore(t, vm.Draw(t, "vm")) },
			"backup":   func(*rapid.T) { f.backup, f.backupRecords = f.platform, f.records },
			"loadBackup": func(*rapid.T) {
				f.platform, f.records = f.backup, f.backupRecords
				f.dropLostValues()
			},
			"restart": func(t *rapid.T) {
				f.vms[vm.Draw(t, "vm")] = Document{Tree: (&Tree{}).clone()}
				f.dropLostValues()
			},
		})
		f.converge(t)
	})
}

// dropLostValues removes from everInForce the classes that neither the platform
// nor a VM has any more, after a VM was restarted or the platform was restored
// from a backup.
func (f *fleet) dropLostValues() {
	for key := range f.everInForce {
		if !f.existsAnywhere(key) {
			delete(f.everInForce, key)
		}
	}
}

func (f *fleet) existsAnywhere(key string) bool {
	for _, d := range append([]Document{f.platform}, f.vms...) {
		if _, ok := d.Tree.Classes[call.Class(key)]; ok {
			return true
		}
	}
	return false
}

func TestHeadBoundsRecentChanges(t *testing.T) {
	var h Head
	for i := range 3 * MaxRecent {
		h = h.Next(fmt.Sprint(i), "anna", time.Time{})
	}
	assert.Equal(t, len(h.Recent), MaxRecent)
	assert.Assert(t, h.Includes(ChangeRef{Version: 1, ChangeID: "0"}))
	assert.Assert(t, !h.Includes(ChangeRef{Version: h.Version - 1, ChangeID: "another"}))
}

func TestMergeDropsChangesThatInvalidateTheTree(t *testing.T) {
	base := Document{Head: Head{}.Next("base", "anna", time.Time{}), Tree: mustParse(t, `{"classes": {"plot": {}}, "teams": {"judges": {}}}`)}
	commit := func(d Document, id string, edits Edits) (Document, Record) {
		next, err := d.Tree.Apply(edits)
		assert.NilError(t, err)
		head := d.Next(id, "anna", time.Time{})
		return Document{Head: head, Tree: next}, Record{ChangeRef: head.ChangeRef, Edits: edits}
	}
	ours, _ := commit(base, "ours", Edits{{Path: "classes.plot"}})
	theirs, record := commit(base, "theirs", Edits{{Path: "teams.judges.defaultClass", Value: []byte(`"plot"`)}})
	merged := ours.Merge(theirs, MergeOptions{Records: Records{record}, ChangeID: "merge"})
	assert.DeepEqual(t, merged.Dropped, []ChangeRef{theirs.ChangeRef})
	assert.Equal(t, merged.Document.Version, int64(3))
	assert.NilError(t, merged.Document.Tree.Validate())
	for _, d := range []Document{ours, theirs} {
		assert.Equal(t, d.Compare(merged.Document.Head).Relation, RelationAhead)
	}
}
