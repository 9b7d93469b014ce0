package entry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// unfinished names the component that does not return, and the group waits for it.
func TestUnfinishedComponent(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hang, began := make(chan struct{}), make(chan struct{})
	var c components
	c.addWithContext(ctx, cancel, "stop", func(context.Context) error { <-began; return nil })
	c.addWithContext(ctx, cancel, "timers", func(ctx context.Context) error { <-ctx.Done(); return nil })
	c.addWithContext(ctx, cancel, "peers", func(context.Context) error { <-hang; return nil })
	assert.DeepEqual(t, c.unfinished(), []string{"stop", "timers", "peers"})
	ended := make(chan error, 1)
	go func() { ended <- c.actors.Run() }()
	close(began)
	<-ctx.Done()
	for len(c.unfinished()) > 1 {
		select {
		case err := <-ended:
			t.Fatalf("the group ended although a component hangs: %v", err)
		default:
		}
	}
	assert.DeepEqual(t, c.unfinished(), []string{"peers"})
	close(hang)
	assert.NilError(t, <-ended)
	assert.Equal(t, len(c.unfinished()), 0)
}
