package node

import (
	"net"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
)

// A request stays at a silent backend server if no other one can take it, so that a server
// whose host is lost has to be told from a sound one by its connection.
func TestConnectionsDetectLostPeer(t *testing.T) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	assert.NilError(t, err)
	defer func() { _ = l.Close() }()
	var o Options
	o.defaultDial()
	conn, err := o.Dial(t.Context(), l.Addr().(*net.TCPAddr).AddrPort())
	assert.NilError(t, err)
	defer func() { _ = conn.Close() }()
	raw, err := conn.(syscall.Conn).SyscallConn()
	assert.NilError(t, err)
	for _, c := range []struct{ option, want int }{
		{unix.TCP_USER_TIMEOUT, 3000}, {unix.TCP_KEEPIDLE, 1}, {unix.TCP_KEEPINTVL, 1}, {unix.TCP_KEEPCNT, 2},
	} {
		var got int
		var optErr error
		assert.NilError(t, raw.Control(func(fd uintptr) { got, optErr = unix.GetsockoptInt(int(fd), unix.IPPROTO_TCP, c.option) }))
		assert.NilError(t, optErr)
		assert.Equal(t, got, c.want)
	}
}
