package member

import (
	"time"

	"github.com/juju/errors"
)

// Self makes the statements of the own VM.
type Self struct {
	last Statement
}

// NewSelf returns the statements' source. The incarnation is the start time in
// seconds, and is raised where others know a later one of the same VM.
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

// Next returns the next statement, which is newer than all before.
func (s *Self) Next() Statement {
	if s.last.Sequence == maxSequence {
		s.last.Incarnation++
		s.last.Sequence = 0
	}
	s.last.Sequence++
	return s.last
}

// Leave makes all further statements say that the VM leaves.
func (s *Self) Leave() Statement {
	s.last.VM.State = StateLeaving
	return s.Next()
}

// ObserveStatement takes a statement that others spread about the own VM. Where it is not
// older than the own ones, it stems from an earlier process whose clock was
// ahead; the incarnation is raised above it. It returns true if so.
func (s *Self) ObserveStatement(other Statement) bool {
	if other.VM.ID != s.last.VM.ID || other.Version() <= s.last.Version() {
		return false
	}
	s.last.Incarnation = other.Incarnation + 1
	s.last.Sequence = 0
	return true
}
