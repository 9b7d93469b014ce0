package main

import (
	"bytes"
	"context"
	"io"
	"math/rand/v2"
	"net/http"
	"net/http/httptest"
	"os/exec"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/call"
	"gentianwell/core/gwtest"
	"gentianwell/core/timer"
	"gentianwell/core/tree"
	"gentianwell/io/conf"
	"gentianwell/io/fakekv"
	"gentianwell/io/oper"
)

// endpoint is the settings endpoint of an entry VM that uses a fake platform.
type endpoint struct {
	fake    *fakekv.Fake
	address string
	// otherVMs holds the versions that the endpoint reports for the other VMs.
	otherVMs atomic.Pointer[oper.VMVersions]
}

func newEndpoint(t *testing.T) *endpoint {
	t.Helper()
	e := &endpoint{fake: fakekv.New(fakekv.Config{})}
	log := logrus.New()
	log.SetOutput(io.Discard)
	store, err := conf.NewStore(conf.StoreConfig{
		Service: e.fake.Service(), Now: time.Now, RetryDelay: time.Millisecond, MaxAttempts: 2,
	})
	assert.NilError(t, err)
	timers := timer.New(timer.Config{Now: time.Now})
	follower, err := conf.NewFollower(conf.FollowerConfig{
		Self: "e1", Store: store, Timer: timers, Rand: rand.New(rand.NewPCG(gwtest.Seed(), 0)), Log: log,
		StartWait: time.Millisecond, Apply: func(*tree.Snapshot) {},
		Fetch: func(context.Context, call.VMID, int64) ([]byte, error) { return nil, nil },
	})
	assert.NilError(t, err)
	settings, err := oper.New(oper.Config{
		Follower: follower, Store: store, Log: log,
		Versions: func(context.Context) oper.VMVersions {
			own := oper.VMVersions{{VM: "e1", Zone: "sala", Version: follower.Current().Version}}
			if others := e.otherVMs.Load(); others != nil {
				return append(own, *others...)
			}
			return own
		},
	})
	assert.NilError(t, err)
	mux := http.NewServeMux()
	settings.Register(mux, requireKey("secret"))
	server := httptest.NewServer(mux)
	e.address = server.Listener.Addr().String()
	ctx, cancel := context.WithCancel(t.Context())
	go func() { _ = timers.Run(ctx) }()
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = follower.Run(ctx)
	}()
	t.Cleanup(func() {
		cancel()
		<-done
		server.Close()
	})
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if follower.Ready() {
			return poll.Success()
		}
		return poll.Continue("not ready")
	})
	return e
}

// requireKey returns a middleware that rejects requests without the bearer key.
func requireKey(key string) func(http.HandlerFunc) http.HandlerFunc {
	return func(next http.HandlerFunc) http.HandlerFunc {
		return func(w http.ResponseWriter, r *http.Request) {
			if r.Header.Get("Authorization") != "Bearer "+key {
				http.Error(w, "the bearer key is no operator's", http.StatusUnauthorized)
				return
			}
			next(w, r)
		}
	}
}

// run runs "gentianwell settings" with the arguments and returns its output and exit
// code.
func (e *endpoint) run(t *testing.T, args ...string) (string, int) {
	t.Helper()
	cmd := programCommand(t.Context(), append([]string{"settings"}, args...)...)
	cmd.Env = append(cmd.Env, "GENTIANWELL_VM="+e.address, "GENTIANWELL_OPERATOR_KEY=secret", "GENTIANWELL_AUTHOR=anna")
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, &out
	err := cmd.Run()
	if exit, ok := err.(*exec.ExitError); ok {
		return out.String(), exit.ExitCode()
	}
	assert.NilError(t, err)
	return out.String(), 0
}

// The cases run in order; each depends on the state that the previous ones left.
func TestSettingsCommands(t *testing.T) {
	e := newEndpoint(t)
	e.otherVMs.Store(&oper.VMVersions{{VM: "e9", Zone: "koping", Version: 9}, {VM: "e8", Zone: "koping", Error: "connection refused"}})
	tests := []struct {
		args string
		code int
		want []string
	}{
		{"set --file ../../docs/examples/lindqvist.json", 0, []string{"accepted version=1 "}},
		{"get classes.plotAssignment.tier", 0, []string{"0\n"}},
		{"set classes.plotAssignment.tier 9", exitUsage, []string{`classes.plotAssignment.tier: 9 is not allowed; allowed: integer, 0 to 7`}},
		{"set classes.plotAssignment.teir 1", exitUsage, []string{`nearest known key: "tier"`}},
		{"get classes.plotAssignment.tier", 0, []string{"0\n"}},
		{"set site.maxWait 31s teams.judges.weight 5 --wait 100ms", 0, []string{"accepted version=2 ", "applied=2 behind=0 unreached=1", `unreached vm=e8 zone=koping version=0 error="connection refused"`}},
		{"get teams.judges.classes.scoringSummary --effective --explain", 0, []string{`deadline="10m0s" from=teams.judges.classes.scoringSummary`, `maxWait="5m0s" from=classes.scoringSummary`, "weight=5 from=teams.judges\n", `progressTimeout="8s" from=site`, "from=default"}},
		{"get site.maxWait --effective --json", 0, []string{`"value": "31s"`}},
		{"get models.plots-3.1.minReplicas", 0, []string{"6\n"}},
		{"get teams.judges.maxWait", exitFailed, []string{"is not set"}},
		{"set --base 1 site.maxWait 40s", exitConflict, []string{"accepted: version 2 by anna: set site.maxWait \"31s\", set teams.judges.weight 5", "not made: set site.maxWait \"40s\""}},
		{"unset site.maxWait --json", 0, []string{`"version": 3`}},
		{"set teams.judges.weight 5", 0, []string{"unchanged version=3"}},
		{"undo 3 --id again", 0, []string{"accepted version=4"}},
		{"undo 3 --id again", 0, []string{"accepted version=4"}},
		{"undo 3", exitConflict, []string{"accepted: version 4"}},
		{"get site.maxWait", 0, []string{`"31s"`}},
		{"set --id again site.weight 7", 0, []string{"accepted version=4 "}},
		{"undo 77", exitUsage, []string{"version 77"}},
		{"history", 0, []string{"version=2 ", `author="anna"`, "   set teams.judges.weight 5\n"}},
		{"check ../../docs/examples/bookplate.json", 0, []string{"ok classes=4 teams=10 models=2 services=2"}},
		{"diff ../../docs/examples/lindqvist.json", 0, []string{"set site ", "set teams.judges "}},
		{"check settings_test.go", exitUsage, []string{"a JSON object"}},
		{"set site.maxWait", exitUsage, []string{"pairs of PATH VALUE"}},
		{"get --key wrong", exitFailed, []string{"401", "the bearer key is no operator's"}},
		{"get --vm 127.0.0.1:1", exitUnreachable, []string{"cannot be reached"}},
		{"sett", exitUsage, []string{`unknown command "sett"`}},
	}
	for _, test := range tests {
		t.Run(test.args, func(t *testing.T) {
			out, code := e.run(t, strings.Fields(test.args)...)
			assert.Equal(t, code, test.code, out)
			for _, want := range test.want {
				assert.Assert(t, strings.Contains(out, want), "got %s, want %s", out, want)
			}
		})
	}
}

func TestSettingsCommandsWithPlatformFaults(t *testing.T) {
	e := newEndpoint(t)
	_, code := e.run(t, "set", "site.weight", "2")
	assert.Equal(t, code, 0)
	tests := []struct {
		faults fakekv.Faults
		code   int
		want   string
	}{
		{fakekv.Faults{Outage: true}, exitUnreachable, "unavailable"},
		{fakekv.Faults{LoseReplies: 1}, 0, "accepted version=2"},
		{fakekv.Faults{LoseRequests: 2}, exitUnreachable, "to complete the change, repeat the command with --id mine"},
		{fakekv.Faults{}, 0, "accepted version=3"},
	}
	for i, test := range tests {
		e.fake.SetFaults(test.faults)
		value := []string{"3", "3", "4", "4"}[i]
		out, code := e.run(t, "set", "--id", []string{"a", "b", "mine", "mine"}[i], "site.weight", value)
		assert.Equal(t, code, test.code, out)
		assert.Assert(t, strings.Contains(out, test.want), out)
	}
}

func TestSettingsWaitFailsIfVMIsBehind(t *testing.T) {
	e := newEndpoint(t)
	e.otherVMs.Store(&oper.VMVersions{{VM: "e9", Zone: "koping"}})
	out, code := e.run(t, "set", "site.weight", "2", "--wait", "300ms")
	assert.Equal(t, code, exitFailed, out)
	assert.Assert(t, strings.Contains(out, "behind vm=e9 zone=koping version=0"), out)
}
