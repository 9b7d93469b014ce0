package main

import (
	"bytes"
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"runtime"
	"strings"
	"syscall"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"gentianwell/core/build"
)

// runProgramEnv is the environment variable that makes the test binary run the
// program instead of the tests.
const runProgramEnv = "GENTIANWELL_TEST_AS_PROGRAM"

func TestMain(m *testing.M) {
	if os.Getenv(runProgramEnv) != "" {
		main()
		return
	}
	os.Exit(m.Run())
}

// programCommand returns a command that runs the program in a process of its own.
func programCommand(ctx context.Context, args ...string) *exec.Cmd {
	cmd := exec.CommandContext(ctx, os.Args[0], args...)
	cmd.Env = append(os.Environ(), runProgramEnv+"=1")
	return cmd
}

func freePort(t *testing.T) string {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer listener.Close()
	return listener.Addr().String()
}

func writeConfig(t *testing.T, text string) string {
	t.Helper()
	path := filepath.Join(t.TempDir(), "config.json")
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	return path
}

// A log and the program that wrote it can be told from those of another build.
func TestVersionNamesTheBuild(t *testing.T) {
	out, err := programCommand(t.Context(), "version").Output()
	assert.NilError(t, err)
	for _, want := range []string{"gentianwell " + build.Version + "\n", "\ncommit ", "\ntree ", "\ngo " + runtime.Version() + "\n", "\nplatform " + runtime.GOOS + "/" + runtime.GOARCH + "\n", "\nfile written 20"} {
		assert.Assert(t, strings.Contains(string(out), want), "%q is missing in %s", want, out)
	}
	fields := buildFields()
	for _, name := range []string{"version", "commit", "tree", "go", "platform", "buildSettings", "fileWritten"} {
		assert.Assert(t, fields[name] != nil, name)
	}
}

// Each error is reported in one line with the right exit code, before anything
// starts.
func TestErrorMessagesAndExitCodes(t *testing.T) {
	taken, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer taken.Close()
	configWithUsedPort := fmt.Sprintf(`{"id":"e1","zone":"z","callers":%q,"peers":%q,"operators":%q,"platform":["127.0.0.1:1"]}`,
		taken.Addr(), freePort(t), freePort(t))
	tests := []struct {
		name     string
		args     []string
		wantCode int
		want     string
	}{
		{"unknown command", []string{"sevre"}, exitUsage, `unknown command "sevre"`},
		{"missing file", []string{"serve", "--config", "/nonexistent.json"}, exitUsage, "no such file"},
		{"invalid JSON", []string{"serve", "--config", writeConfig(t, "{")}, exitUsage, "start-up settings"},
		{"unknown key", []string{"serve", "--config", writeConfig(t, `{"zoen":"z"}`)}, exitUsage, `"zoen"`},
		{"all problems at once", []string{"serve", "--id", "e1", "--callers", "here"}, exitUsage, "zone is empty"},
		{"wrong address", []string{"serve", "--callers", "here"}, exitUsage, `callers: "here" is not an address of the form IP:PORT`},
		{"port in use", []string{"serve", "--config", writeConfig(t, configWithUsedPort)}, exitFailed, "address already in use"},
		{"VM not reachable", []string{"status", "--vm", freePort(t)}, exitUnreachable, "connection refused"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			cmd := programCommand(t.Context(), tt.args...)
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

// logFile is the file that a process writes its log to. It can be read while the
// process runs.
type logFile struct{ path string }

func (o logFile) text() string {
	raw, _ := os.ReadFile(o.path)
	return string(raw)
}

func (o logFile) waitFor(t *testing.T, text string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if strings.Contains(o.text(), text) {
			return poll.Success()
		}
		return poll.Continue("no %q in:\n%s", text, o.text())
	}, poll.WithTimeout(20*time.Second))
}

// If the platform cannot be reached, the process starts, logs the problem and shuts
// down gracefully at SIGTERM.
func TestServeWithoutPlatform(t *testing.T) {
	operators := freePort(t)
	path := writeConfig(t, fmt.Sprintf(`{"id":"e1","zone":"z","callers":%q,"peers":%q,"operators":%q,"platform":[%q],"notice":"100ms"}`,
		freePort(t), freePort(t), operators, freePort(t)))
	cmd := programCommand(t.Context(), "serve", "--config", path)
	log := logFile{filepath.Join(t.TempDir(), "log")}
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
