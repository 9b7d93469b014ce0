package site

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

// The ports for listeners are below the ephemeral port range. An outgoing connection could
// otherwise take a port after freeAddress has chosen it and before it is used.
const (
	firstPort = 12000
	portCount = 18000
	// portStep is the distance between the first ports of processes with successive IDs, so
	// that test processes that run at the same time use different ports.
	portStep = 97
)

// portsTried counts the ports that this process has tried.
var portsTried atomic.Int64

// freeAddress returns a loopback address on which nothing listens.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portCount {
		offset := (int64(os.Getpid())*portStep + portsTried.Add(1)) % portCount
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+offset))
		if err != nil {
			continue
		}
		address := netip.MustParseAddrPort(listener.Addr().String())
		if err := listener.Close(); err != nil {
			t.Fatal(err)
		}
		return address
	}
	t.Fatalf("none of the ports %d to %d is free", firstPort, firstPort+portCount-1)
	return netip.AddrPort{}
}
