package entry

import (
	"context"
	"testing"

	"gotest.tools/v3/assert"
)

// A part that does not end is told by its name.
func TestPartThatDoesNotEnd(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	hang, began := make(chan struct{}), make(chan struct{})
	var p parts
	p.addWith(ctx, cancel, "stop", func(context.Context) error { <-began; return nil })
	p.addWith(ctx, cancel, "timers", func(ctx context.Context) error { <-ctx.Done(); return nil })
	p.addWith(ctx, cancel, "peers", func(context.Context) error { <-hang; return nil })
	assert.DeepEqual(t, p.left(), []string{"stop", "timers", "peers"})
	ended := make(chan error, 1)
	go func() { ended <- p.group.Run() }()
	close(began)
	<-ctx.Done()
	for len(p.left()) > 1 {
		select {
		case err := <-ended:
			t.Fatalf("ended with a part that hangs: %v", err)
		default:
		}
	}
	assert.DeepEqual(t, p.left(), []string{"peers"})
	close(hang)
	assert.NilError(t, <-ended)
	assert.Equal(t, len(p.left()), 0)
}
