package entry

import (
	"context"
	"slices"
	"sync"

	"github.com/oklog/run"
)

// parts are the running parts of a process: when one ends, all are interrupted.
// Each has a name, so that one that does not end can be told.
type parts struct {
	group   run.Group
	mu      sync.Mutex
	running []string
}

// add adds a part that ends once interrupt was called.
func (p *parts) add(name string, execute func() error, interrupt func(error)) {
	p.running = append(p.running, name)
	p.group.Add(func() error {
		defer p.ended(name)
		return execute()
	}, interrupt)
}

// addWith adds a part that ends with its context.
func (p *parts) addWith(ctx context.Context, cancel func(), name string, execute func(context.Context) error) {
	p.add(name, func() error { return execute(ctx) }, func(error) { cancel() })
}

func (p *parts) ended(name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if i := slices.Index(p.running, name); i >= 0 {
		p.running = slices.Delete(p.running, i, i+1)
	}
}

// left returns the names of the parts that have not ended, in the order of add.
func (p *parts) left() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return slices.Clone(p.running)
}
