package placer

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/juju/errors"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/place"
	"gentianwell/core/timer"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
)

// The environment variables of a process that runs a VM with a placer.
const (
	envVM       = "PLACER_VM"
	envPlatform = "PLACER_PLATFORM"
	envEngines  = "PLACER_ENGINES"
)

// sentOrder is an order that a process sends to the engines in the test's process.
type sentOrder struct {
	VM    call.VMID
	Order Order
}

// runVM is the main function of such a process. Its needs keep changing, so that it
// always has orders to send.
func runVM() error {
	address := netip.MustParseAddrPort(os.Getenv(envPlatform))
	timers := timer.New(timer.Config{Now: time.Now})
	vm := call.VMID(os.Getenv(envVM))
	p := New(Config{
		Service: kvs.NewGateway(kvs.GatewayConfig{Addresses: []netip.AddrPort{address}}).Service(),
		VM:      vm, Nonce: func() string { return time.Now().String() }, Every: timers.Every,
		TTL: 2 * time.Second, Margin: 300 * time.Millisecond, Interval: 20 * time.Millisecond,
		Planner: place.Config{OrderTimeout: 200 * time.Millisecond, ReadRate: 1e6, ReadBurst: 1e6},
		Needs: func() place.Needs {
			first := int(time.Now().UnixMilli()/500) % 2
			return place.Needs{
				{Artifact: place.Artifact{Model: "a"}, Copies: 3 * first, Megabytes: 1},
				{Artifact: place.Artifact{Model: "b"}, Copies: 3 * (1 - first), Megabytes: 1},
			}
		},
		Replicas:  func() place.Replicas { return fetchReplicas(os.Getenv(envEngines)) },
		SendOrder: func(ctx context.Context, o Order) error { return postOrder(ctx, sentOrder{vm, o}) },
	})
	go p.Run(context.Background())
	return timers.Run(context.Background())
}

func fetchReplicas(base string) place.Replicas {
	asked := time.Now()
	resp, err := http.Get(base)
	if err != nil {
		return nil
	}
	defer resp.Body.Close()
	var out place.Replicas
	if err := json.NewDecoder(resp.Body).Decode(&out); err != nil {
		return nil
	}
	for i := range out {
		out[i].Reported = asked
	}
	return out
}

func postOrder(ctx context.Context, s sentOrder) error {
	body, err := json.Marshal(s)
	if err != nil {
		return err
	}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, os.Getenv(envEngines), bytes.NewReader(body))
	if err != nil {
		return err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return errors.Trace(ErrRefused)
	}
	return nil
}

// ServeHTTP returns the engines' reports to the processes and applies their orders.
func (s *fakeSite) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodGet {
		_ = json.NewEncoder(w).Encode(s.reports())
		return
	}
	var order sentOrder
	if err := json.NewDecoder(r.Body).Decode(&order); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.stopMidPlan(order)
	if err := s.apply(order.VM, order.Order); err != nil {
		http.Error(w, err.Error(), http.StatusConflict)
	}
}

// stopMidPlan stops the process toStop when it sends its first unload order after a
// load order. Such an order is the first of a plan of three.
func (s *fakeSite) stopMidPlan(o sentOrder) {
	if o.VM != "a" || o.Order.Action != place.ActionUnload {
		return
	}
	earlier := s.orders("a")
	if len(earlier) == 0 || earlier[len(earlier)-1].order.Action != place.ActionLoad {
		return
	}
	if process := s.toStop.Swap(nil); process != nil {
		_ = process.Signal(syscall.SIGSTOP)
		close(s.stopped)
	}
}

func startProcess(t *testing.T, vm string, platform, engines *httptest.Server) *os.Process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envVM+"="+vm, envPlatform+"="+platform.Listener.Addr().String(), envEngines+"="+engines.URL)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// waitOrders waits until the VM has sent that many more orders, and returns the
// fencing token of the last one.
func (s *fakeSite) waitOrders(t *testing.T, vm call.VMID, more int) int64 {
	t.Helper()
	want := len(s.orders(vm)) + more
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := len(s.orders(vm)); n < want {
			return poll.Continue("%d of %d orders of %s", n, want, vm)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(10*time.Millisecond))
	orders := s.orders(vm)
	return orders[len(orders)-1].order.FencingToken
}

// lateOrders counts the orders of "a" with the old fencing token that engines
// accepted after the first order of "b".
func (s *fakeSite) lateOrders(old int64) int {
	late, over := 0, false
	for _, o := range s.all() {
		over = over || o.vm == "b"
		if over && o.vm == "a" && o.order.FencingToken == old && !o.refused {
			late++
		}
	}
	return late
}

// A process that holds the lease is stopped by SIGSTOP in the middle of a plan, and
// another takes over. The first continues, cut off from the platform. At most the one
// order that it was about to write still arrives with its old fencing token.
func TestStoppedProcess(t *testing.T) {
	for name, checks := range map[string]bool{"engines check tokens": true, "engines ignore tokens": false} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			fake := fakekv.New(fakekv.Config{})
			holderPlatform, platform := httptest.NewServer(fake.Handler()), httptest.NewServer(fake.Handler())
			defer platform.CloseClientConnections()
			s := newSite(checks)
			s.stopped = make(chan struct{})
			engines := httptest.NewServer(s)
			defer engines.CloseClientConnections()
			holder := startProcess(t, "a", holderPlatform, engines)
			old := s.waitOrders(t, "a", 3)
			startProcess(t, "b", platform, engines)
			s.toStop.Store(holder)
			<-s.stopped
			newer := s.waitOrders(t, "b", 3)
			assert.Assert(t, newer > old)
			holderPlatform.Listener.Close()
			holderPlatform.CloseClientConnections()
			assert.NilError(t, holder.Signal(syscall.SIGCONT))
			s.waitOrders(t, "b", 6)
			late := s.lateOrders(old)
			assert.Assert(t, late <= 1, "%d late orders", late)
			if checks {
				assert.Equal(t, late, 0)
			}
		})
	}
}
