package outbox

import (
	"cmp"

	"github.com/juju/errors"
)

const defaultMax = 4096

// Config configures a Queue of records with ids of type K.
type Config[K comparable, V any] struct {
	// Max limits the records that wait or are being written, 4096 by default. MaxUrgent is the
	// same for urgent ones, which count in Max too; Max by default.
	Max, MaxUrgent int
	// Urgent reports whether a record is to be taken before others. It is asked anew each time; by
	// default none is.
	Urgent func(K) bool
	// Covers reports whether whoever waits for one record is served by another one of the same id
	// that is known. By default a newer record serves who waits for an older one, and no other.
	Covers func(known, wanted V) bool
}

// Defaults returns the config with its unset fields filled in.
func (c Config[K, V]) Defaults() Config[K, V] {
	c.Max = cmp.Or(c.Max, defaultMax)
	c.MaxUrgent = cmp.Or(c.MaxUrgent, c.Max)
	if c.Urgent == nil {
		c.Urgent = func(K) bool { return false }
	}
	return c
}

// Validate checks the config, after Defaults.
//
// Errors: NotValid.
func (c Config[K, V]) Validate() error {
	if c.Max < 1 {
		return errors.NotValidf("Max %d (at least 1)", c.Max)
	}
	if c.MaxUrgent < c.Max {
		return errors.NotValidf("MaxUrgent %d (at least Max, which is %d)", c.MaxUrgent, c.Max)
	}
	return nil
}

// coversOlder reports whether a record serves who waits for an older one.
func (c Config[K, V]) coversOlder(newer, older V) bool {
	return c.Covers == nil || c.Covers(newer, older)
}

// coversNewer reports whether a record serves who waits for a newer one.
func (c Config[K, V]) coversNewer(older, newer V) bool {
	return c.Covers != nil && c.Covers(older, newer)
}
