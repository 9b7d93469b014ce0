package relay

import (
	"net"
	"sync"
	"sync/atomic"
)

// bufferSize is the size of the buffer for one direction, in bytes.
const bufferSize = 32 << 10

// link is one relayed connection.
type link struct {
	in, out *net.TCPConn
	frozen  atomic.Bool
	once    sync.Once
	ended   chan struct{}
}

// forward copies in both directions until one end closes. A frozen link ends only by
// reset.
func (l *link) forward() {
	var both sync.WaitGroup
	both.Go(func() { l.copy(l.out, l.in) })
	both.Go(func() { l.copy(l.in, l.out) })
	both.Wait()
}

func (l *link) copy(to, from *net.TCPConn) {
	buf := make([]byte, bufferSize)
	for {
		n, err := from.Read(buf)
		if l.frozen.Load() {
			<-l.ended
			return
		}
		if n > 0 {
			if _, err := to.Write(buf[:n]); err != nil {
				l.close()
				return
			}
		}
		if err != nil {
			l.close()
			return
		}
	}
}

// reset closes both connections with a TCP reset.
func (l *link) reset() {
	_ = l.in.SetLinger(0)
	_ = l.out.SetLinger(0)
	l.close()
}

func (l *link) close() {
	l.once.Do(func() {
		close(l.ended)
		_ = l.in.Close()
		_ = l.out.Close()
	})
}
