package claims

import (
	"bytes"
	"context"
	"fmt"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"net/url"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/claim"
	"gentianwell/core/timer"
	"gentianwell/io/fakekv"
	"gentianwell/io/kvs"
	"gentianwell/io/kvwire"
)

// The environment variables of a process that acts as a VM and makes one payment.
const (
	envVM       = "CLAIMS_VM"
	envPlatform = "CLAIMS_PLATFORM"
	envBackend  = "CLAIMS_BACKEND"
)

func TestMain(m *testing.M) {
	if os.Getenv(envVM) == "" {
		os.Exit(m.Run())
	}
	if err := runVM(os.Getenv(envVM)); err != nil {
		os.Exit(1)
	}
}

// runVM is the main function of the process. It tries to make the payment until it
// has been made, and reports each verdict to the test's backend server.
func runVM(vm string) error {
	ctx := context.Background()
	address := netip.MustParseAddrPort(os.Getenv(envPlatform))
	timers := timer.New(timer.Config{Now: time.Now})
	go timers.Run(ctx)
	c := New(Config{
		Service: kvs.NewGateway(kvs.GatewayConfig{Addresses: []netip.AddrPort{address}, Timeout: time.Minute}).Service(),
		VM:      call.VMID(vm), Nonce: func() string { return vm + time.Now().String() }, Every: timers.Every,
		Timeout: time.Minute,
	})
	go c.Run(ctx)
	for {
		attempt, err := c.Begin(ctx, claim.Request{ID: vm, Team: "t", Service: "ledger", Key: "k", Fingerprint: 1})
		if err != nil {
			return err
		}
		kind := attempt.Verdict().Kind
		if err := report("verdict", vm, kind); err != nil || kind == claim.KindReplay {
			return err
		}
		if kind == claim.KindRun {
			if err := attempt.MarkSent(time.Now()); err != nil {
				return err
			}
			if err := report("pay", vm, kind); err != nil {
				return err
			}
			return c.Finish(ctx, attempt, claim.Outcome{Status: http.StatusCreated})
		}
		time.Sleep(20 * time.Millisecond)
	}
}

// report sends a line to the test's backend server.
func report(path, vm string, kind claim.Kind) error {
	values := url.Values{"vm": {vm}, "kind": {string(kind)}}
	resp, err := http.PostForm(os.Getenv(envBackend)+"/"+path, values)
	if err != nil {
		return err
	}
	return resp.Body.Close()
}

// reportLog is the backend server. It records the reports of the processes, such as
// "pay a run".
type reportLog struct {
	mu    sync.Mutex
	lines []string
}

// ServeHTTP records one report.
func (l *reportLog) ServeHTTP(_ http.ResponseWriter, r *http.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lines = append(l.lines, strings.Join([]string{r.URL.Path[1:], r.FormValue("vm"), r.FormValue("kind")}, " "))
}

func (l *reportLog) count(prefix string) int {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := 0
	for _, line := range l.lines {
		if strings.HasPrefix(line, prefix) {
			n++
		}
	}
	return n
}

func (l *reportLog) wait(t *testing.T, prefix string, want int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := l.count(prefix); n < want {
			return poll.Continue("%d of %d times %q", n, want, prefix)
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(5*time.Millisecond))
}

func startProcess(t *testing.T, vm string, platform, backend *httptest.Server) *os.Process {
	t.Helper()
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envVM+"="+vm, envPlatform+"="+platform.Listener.Addr().String(), envBackend+"="+backend.URL)
	assert.NilError(t, cmd.Start())
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd.Process
}

// waitStopped waits until every thread of the process is in state T (stopped). kill(2)
// returns before that, so that a process can still send after the signal.
func waitStopped(t *testing.T, pid int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		paths, err := filepath.Glob(filepath.Join("/proc", strconv.Itoa(pid), "task", "*", "stat"))
		if err != nil {
			return poll.Error(err)
		}
		if len(paths) == 0 {
			return poll.Error(fmt.Errorf("process %d has no threads in /proc", pid))
		}
		for _, path := range paths {
			stat, err := os.ReadFile(path)
			if err != nil {
				return poll.Continue("%v", err) // the thread has ended
			}
			// The state follows the thread's name, which is in parentheses and may itself contain ")".
			fields := strings.Fields(string(stat[bytes.LastIndexByte(stat, ')')+1:]))
			if len(fields) == 0 || fields[0] != "T" {
				return poll.Continue("%s: not in state T: %s", path, stat)
			}
		}
		return poll.Success()
	}, poll.WithTimeout(30*time.Second), poll.WithDelay(time.Millisecond))
}

// A process is stopped by SIGSTOP between its claim and its send, while another
// process keeps requesting the same key. After SIGCONT the first sends its payment.
// It is the only payment, and the second process gets its outcome.
func TestStoppedProcess(t *testing.T) {
	handler := fakekv.New(fakekv.Config{}).Handler()
	claimed, stopped := make(chan struct{}), make(chan struct{})
	first := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		recorder := httptest.NewRecorder()
		handler.ServeHTTP(recorder, r)
		if r.URL.Path == kvwire.PathTxn {
			select {
			case <-claimed:
			default:
				close(claimed)
				<-stopped
			}
		}
		_, _ = w.Write(recorder.Body.Bytes())
	}))
	defer first.CloseClientConnections()
	second := httptest.NewServer(handler)
	defer second.CloseClientConnections()
	l := &reportLog{}
	backend := httptest.NewServer(l)
	defer backend.CloseClientConnections()

	holder := startProcess(t, "a", first, backend)
	<-claimed
	assert.NilError(t, holder.Signal(syscall.SIGSTOP))
	waitStopped(t, holder.Pid)
	close(stopped)
	startProcess(t, "b", second, backend)
	l.wait(t, "verdict b inProgress", 20)
	assert.Equal(t, l.count("pay"), 0)
	assert.NilError(t, holder.Signal(syscall.SIGCONT))
	l.wait(t, "verdict b replay", 1)
	assert.Equal(t, l.count("pay a"), 1)
	assert.Equal(t, l.count("pay"), 1)
	assert.Equal(t, l.count("verdict b run"), 0)
}
