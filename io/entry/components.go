package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/oklog/run"
)

// components runs the components of a process; when one returns, all are interrupted.
// Each has a name, so that the log can name those that do not return.
type components struct {
	actors run.Group
	mu     sync.Mutex
	// running holds the names of the components that have not returned.
	running []string
}

// add adds a component that returns once interrupt has been called.
func (c *components) add(name string, execute func() error, interrupt func(error)) {
	c.running = append(c.running, name)
	c.actors.Add(func() error {
		defer c.markEnded(name)
		return execute()
	}, interrupt)
}

// addWithContext adds a component that returns when its context is canceled.
func (c *components) addWithContext(ctx context.Context, cancel func(), name string, execute func(context.Context) error) {
	c.add(name, func() error { return execute(ctx) }, func(error) { cancel() })
}

func (c *components) markEnded(name string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if i := slices.Index(c.running, name); i >= 0 {
		c.running = slices.Delete(c.running, i, i+1)
	}
}

// unfinished returns the names of the components that have not returned, in the order
// in which they were added.
func (c *components) unfinished() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.running)
}
