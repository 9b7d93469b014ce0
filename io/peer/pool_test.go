package peer

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"gentianwell/core/spread"
	"gentianwell/io/peerpb"
)

// cutConn returns an end of file after some bytes, as after a reset that a write has taken.
type cutConn struct {
	net.Conn
	left int
}

func (c *cutConn) Read(p []byte) (int, error) {
	if c.left == 0 {
		return 0, io.EOF
	}
	n, err := c.Conn.Read(p[:min(len(p), c.left)])
	c.left -= n
	return n, err
}

// A reply that breaks off after any byte is an error.
func TestReplyBreaksOff(t *testing.T) {
	b := startNode(t, "b", nil, noPeers)
	b.store.Put(time.Now(), spread.Item{ID: spread.ID{Kind: "k", Key: "x"}, Version: 1, Value: []byte("value"), Expires: time.Now().Add(time.Minute)})
	for size := 0; ; size++ {
		pool := NewPool(PoolConfig{Dial: func(ctx context.Context, address netip.AddrPort) (net.Conn, error) {
			c, err := dialTCP(ctx, address)
			return &cutConn{Conn: c, left: size}, err
		}})
		var got *peerpb.ExchangeReply
		err := pool.Call(t.Context(), b.peer.Address, func(ctx context.Context, c peerpb.DRPCPeerClient) error {
			var err error
			got, err = c.Exchange(ctx, &peerpb.ExchangeRequest{Vm: "a"})
			return err
		})
		pool.Close()
		if err == nil {
			assert.Equal(t, len(got.Items), 1)
			assert.Equal(t, string(got.Items[0].Value), "value")
			assert.Assert(t, size > len("value"))
			return
		}
		assert.Assert(t, size < 1000, "%v", err)
	}
}
