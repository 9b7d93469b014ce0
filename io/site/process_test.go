package site

import (
	"fmt"
	"net/http"
	"net/netip"
	"os"
	"os/exec"
	"syscall"
	"testing"
	"time"

	"github.com/openai/openai-go/v3/option"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/member"
	"gentianwell/io/fakes"
	"gentianwell/io/front"
)

// envEngineAddress is the environment variable that makes the test binary run an engine at
// that address.
const envEngineAddress = "GENTIANWELL_TEST_ENGINE"

func TestMain(m *testing.M) {
	if address := os.Getenv(envEngineAddress); address != "" {
		if err := serveEngine(address); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	os.Exit(m.Run())
}

func serveEngine(address string) error {
	e, err := fakes.NewEngine(fakes.EngineConfig{ID: address, Models: []string{"drafts"}, TokenGap: time.Millisecond})
	if err != nil {
		return err
	}
	return http.ListenAndServe(address, e.Handler())
}

// engineProcess is an engine in its own process.
type engineProcess struct {
	address netip.AddrPort
	process *os.Process
}

// startProcess starts an engine in its own process and lists it on the platform.
func (s *Site) startProcess(t *testing.T, id call.VMID) engineProcess {
	t.Helper()
	p := engineProcess{address: freeAddress(t)}
	cmd := exec.Command(os.Args[0])
	cmd.Env = append(os.Environ(), envEngineAddress+"="+p.address.String())
	cmd.Stderr = os.Stderr
	assert.NilError(t, cmd.Start())
	p.process = cmd.Process
	t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result { return p.answers() }, poll.WithTimeout(startTimeout), poll.WithDelay(10*time.Millisecond))
	s.PutVM(t, member.VM{
		ID: id, Zone: zone(0), Role: member.RoleEngine, Address: p.address, Models: []call.Model{"drafts"}, State: member.StateLive,
	})
	return p
}

func (p engineProcess) answers() poll.Result {
	resp, err := http.Get("http://" + p.address.String() + "/runs")
	if err != nil {
		return poll.Continue("%v", err)
	}
	_ = resp.Body.Close()
	return poll.Success()
}

// The process of an engine is killed, or stopped by SIGSTOP, in the middle of a stream. The
// kernel still acknowledges what is sent to a stopped process. In both cases the caller
// gets the complete answer.
func TestEngineProcessFails(t *testing.T) {
	const prompt = "hello [[length=300]]"
	s := newRelayedSite(t, Config{Entries: 1})
	processes := map[string]engineProcess{}
	for i := range 3 {
		id := fmt.Sprintf("p%d", i)
		processes[id] = s.startProcess(t, call.VMID(id))
	}
	client := s.client()
	// Wait until the entry VM knows all three engines and a request succeeds.
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if n := s.Entries[0].Node.Status().Replicas; n < 3 {
			return poll.Continue("%d replicas", n)
		}
		if _, err := client.Chat.Completions.New(t.Context(), chatParams("hello")); err != nil {
			return poll.Continue("%v", err)
		}
		return poll.Success()
	}, poll.WithTimeout(startTimeout), poll.WithDelay(10*time.Millisecond))
	for _, signal := range []syscall.Signal{syscall.SIGSTOP, syscall.SIGKILL} {
		t.Run(signal.String(), func(t *testing.T) {
			var resp *http.Response
			stream := client.Chat.Completions.NewStreaming(t.Context(), chatParams(prompt), option.WithResponseInto(&resp))
			got := readAll(stream, func(n int) {
				if n == 20 {
					p := processes[resp.Header.Get(front.HeaderReplica)]
					assert.NilError(t, p.process.Signal(signal))
				}
			})
			assert.NilError(t, got.err)
			assert.Equal(t, got.text, fakes.AnswerText(prompt, 0, -1))
		})
	}
}
