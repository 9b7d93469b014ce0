package site

import (
	"fmt"
	"net"
	"net/netip"
	"os"
	"sync/atomic"
	"testing"
)

// The ports for listeners lie below those that the system gives to outgoing
// connections, which could take a port between its choice and its use.
const (
	firstPort = 12000
	portCount = 18000
	// portStep spreads the ports of test processes that run at the same time.
	portStep = 97
)

var portsTaken atomic.Int64

// freeAddress returns an address of loopback on which nothing listens.
func freeAddress(t testing.TB) netip.AddrPort {
	t.Helper()
	for range portCount {
		offset := (int64(os.Getpid())*portStep + portsTaken.Add(1)) % portCount
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
	t.Fatal("no port is free")
	return netip.AddrPort{}
}
