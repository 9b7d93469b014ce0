package origin

import (
	"cmp"
	"time"
)

// The defaults of Config.
const (
	defaultKeep       = 10 * time.Second
	defaultMaxKeep    = 5 * time.Minute
	defaultMaxStreams = 16384
)

// Config configures a Registry.
type Config struct {
	// Keep is how long a stream may be taken up after it began, at least; streams whose callers
	// wait longer extend it, up to MaxKeep.
	Keep, MaxKeep time.Duration
	// MaxStreams limits the streams that are remembered; the oldest go first.
	MaxStreams int
}

// Defaults returns the config with its unset fields filled in.
func (c Config) Defaults() Config {
	c.Keep = cmp.Or(c.Keep, defaultKeep)
	c.MaxKeep = max(cmp.Or(c.MaxKeep, defaultMaxKeep), c.Keep)
	c.MaxStreams = cmp.Or(c.MaxStreams, defaultMaxStreams)
	return c
}
