// Package relay is a small TCP relay for tests of lost, reset and silent connections. It
// forwards bytes in both directions until its connections are frozen or reset.
//
// # Usage
//
//	r, err := relay.New(relay.Config{Target: backend})
//	if err != nil {
//		return err
//	}
//	defer r.Close()
//	// connect to r.Address() instead of backend
//	r.Freeze() // the open connections go silent for good, new ones work
//	r.Reset()  // the open connections are reset, new ones work
package relay

import (
	"net"
	"net/netip"
	"sync"

	"github.com/juju/errors"
)

// Config configures a Relay.
type Config struct {
	// Target is the address to which connections are relayed.
	Target netip.AddrPort
}

// Relay relays connections to one target.
type Relay struct {
	target   netip.AddrPort
	listener *net.TCPListener

	mu       sync.Mutex
	links    map[*link]bool
	accepted int
	done     sync.WaitGroup
}

// New starts a relay on a free port of the loopback address.
//
// Errors: those of net.ListenTCP.
func New(c Config) (*Relay, error) {
	l, err := net.ListenTCP("tcp", &net.TCPAddr{IP: net.IPv4(127, 0, 0, 1)})
	if err != nil {
		return nil, errors.Annotate(err, "relay.New")
	}
	r := &Relay{target: c.Target, listener: l, links: map[*link]bool{}}
	r.done.Go(r.accept)
	return r, nil
}

// Address returns the address on which the relay listens.
func (r *Relay) Address() netip.AddrPort {
	return r.listener.Addr().(*net.TCPAddr).AddrPort()
}

// Accepted returns the number of connections relayed so far.
func (r *Relay) Accepted() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.accepted
}

// Freeze makes the open connections silent for good: they stay open, but no more bytes
// are forwarded.
func (r *Relay) Freeze() {
	for _, l := range r.open() {
		l.frozen.Store(true)
	}
}

// Reset resets the open connections.
func (r *Relay) Reset() {
	for _, l := range r.open() {
		l.reset()
	}
}

// Close stops the relay, resets its connections and waits for its goroutines.
func (r *Relay) Close() {
	_ = r.listener.Close()
	r.Reset()
	r.done.Wait()
}

func (r *Relay) open() []*link {
	r.mu.Lock()
	defer r.mu.Unlock()
	var out []*link
	for l := range r.links {
		out = append(out, l)
	}
	return out
}

func (r *Relay) accept() {
	for {
		in, err := r.listener.AcceptTCP()
		if err != nil {
			return
		}
		r.done.Go(func() { r.serve(in) })
	}
}

func (r *Relay) serve(in *net.TCPConn) {
	out, err := net.DialTCP("tcp", nil, net.TCPAddrFromAddrPort(r.target))
	if err != nil {
		_ = in.Close()
		return
	}
	l := &link{in: in, out: out, ended: make(chan struct{})}
	r.track(l)
	l.forward()
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.links, l)
}

func (r *Relay) track(l *link) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.accepted++
	r.links[l] = true
}
