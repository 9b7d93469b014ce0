package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
)

// asProgram makes the test binary run the program instead of the tests.
const asProgram = "GENTIANWELL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(asProgram) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

func program(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), asProgram+"=1")
	return cmd
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func writeFile(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// Each mistake gives one clear line and the right exit code, before anything starts.
func TestMistakes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	good := fmt.Sprintf(`{"id":"e1","zone":"z","callers":%q,"peers":%q,"operators":%q,"platform":["127.0.0.1:1"]}`,
		taken.Addr(), freePort(t), freePort(t))
	tests := []struct {
		name     string
		args     []string
		wantCode int
		want     string
	}{
		{"unknown command", []string{"sevre"}, exitUsage, `unknown command "sevre"`},
		{"no file", []string{"serve", "--config", "/nonexistent.json"}, exitUsage, "no such file"},
		{"no JSON", []string{"serve", "--config", writeFile(t, "{")}, exitUsage, "start-up settings"},
		{"unknown key", []string{"serve", "--config", writeFile(t, `{"zoen":"z"}`)}, exitUsage, `"zoen"`},
		{"all at once", []string{"serve", "--id", "e1", "--callers", "here"}, exitUsage, "zone is empty"},
		{"wrong address", []string{"serve", "--callers", "here"}, exitUsage, "callers:"},
		{"port in use", []string{"serve", "--config", writeFile(t, good)}, exitFailed, "address already in use"},
		{"VM away", []string{"status", "--vm", freePort(t)}, exitUnreachable, "connection refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := program(t.Context(), tt.args...)
			var stderr bytes.Buffer
			cmd.Stderr = &stderr
			err := cmd.Run()
			exit, ok := err.(*exec.ExitError)
			assert.Assert(t, ok, "got %v, want exit code %d", err, tt.wantCode)
			assert.Equal(t, exit.ExitCode(), tt.wantCode, stderr.String())
			line := strings.TrimSpace(stderr.String())
			assert.Assert(t, strings.Contains(line, tt.want), line)
			assert.Equal(t, strings.Count(line, "\n"), 0, line)
		})
	}
}

// output is what a process writes, to be read while it runs.
type output struct{ path string }

func (o output) text() string {
	raw, _ := os.ReadFile(o.path)
	return string(raw)
}

func (o output) waitFor(t *testing.T, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(o.text(), text) {
			return poll.Success()
		}
		return poll.Continue("no %q in:\n%s", text, o.text())
	}, poll.WithTimeout(20*time.Second))
}

// With the platform away the process starts, says so, is not ready, and stops as
// planned at SIGTERM.
func TestServeWithoutPlatform(t *testing.T) {
	operators := freePort(t)
	path := writeFile(t, fmt.Sprintf(`{"id":"e1","zone":"z","callers":%q,"peers":%q,"operators":%q,"platform":[%q],"notice":"100ms"}`,
		freePort(t), freePort(t), operators, freePort(t)))
	cmd := program(t.Context(), "serve", "--config", path)
	log := output{filepath.Join(t.TempDir(), "log")}
	file, err := os.Create(log.path)
	assert.NilError(t, err)
	defer file.Close()
	cmd.Stderr = file
	assert.NilError(t, cmd.Start())
	log.waitFor(t, "reachability of the platform's key-value service changed")
	assert.NilError(t, cmd.Process.Signal(syscall.SIGTERM))
	assert.NilError(t, cmd.Wait(), log.text())
	assert.Assert(t, strings.Contains(log.text(), "ending=allFinished"), log.text())
}
