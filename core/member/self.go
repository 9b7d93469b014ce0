package member

import (
	"time"

	"github.com/juju/errors"
)

// Self produces the statements of the local VM.
type Self struct {
	last Statement
}

// NewSelf returns a Self for vm. Its incarnation is the start time in seconds;
// ObserveStatement raises it if other VMs know a later one of this VM.
//
// Errors: NotValid.
func NewSelf(started time.Time, vm VM) (*Self, error) {
	vm.State = StateLive
	s := Statement{VM: vm, Incarnation: uint64(max(1, started.Unix()))}
	if err := s.Validate(); err != nil {
		return nil, errors.Annotate(err, "NewSelf")
	}
	return &Self{last: s}, nil
}

// Next returns the next statement, which is newer than all previous ones.
func (s *Self) Next() Statement {
	if s.last.Sequence == maxSequence {
		s.last.Incarnation++
		s.last.Sequence = 0
	}
	s.last.Sequence++
	return s.last
}

// Leave returns the next statement; it and all later ones say that the VM is
// leaving.
func (s *Self) Leave() Statement {
	s.last.VM.State = StateLeaving
	return s.Next()
}

// ObserveStatement checks a statement about the local VM that other VMs spread. If
// it is newer than the last statement made here, it comes from an earlier process
// whose clock was ahead: the incarnation is raised above it, and true is returned.
func (s *Self) ObserveStatement(other Statement) bool {
	if other.VM.ID != s.last.VM.ID || other.Version() <= s.last.Version() {
		return false
	}
	s.last.Incarnation = other.Incarnation + 1
	s.last.Sequence = 0
	return true
}
