package main

import (
	"go/ast"
	"go/parser"
	"go/token"
	"io/fs"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"regexp"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	logtest "github.com/sirupsen/logrus/hooks/test"
	"gotest.tools/v3/assert"

	"gentianwell/io/entry"
	"gentianwell/io/metric"
	"gentianwell/io/node"
	"gentianwell/platform"
)

const (
	root           = "../../"
	operationsPage = root + "docs/OPERATIONS.md"
)

// sources returns the parsed files below a directory, tests left out.
func sources(t *testing.T, dir string) []*ast.File {
	t.Helper()
	var files []*ast.File
	set := token.NewFileSet()
	err := filepath.WalkDir(root+dir, func(path string, _ fs.DirEntry, err error) error {
		if err != nil || !strings.HasSuffix(path, ".go") || strings.HasSuffix(path, "_test.go") {
			return err
		}
		file, err := parser.ParseFile(set, path, nil, parser.SkipObjectResolution)
		files = append(files, file)
		return err
	})
	assert.NilError(t, err)
	return files
}

// literal returns a string literal's value, empty for anything else.
func literal(e ast.Expr) string {
	lit, ok := e.(*ast.BasicLit)
	if !ok || lit.Kind != token.STRING {
		return ""
	}
	// The parser has accepted the literal.
	value, _ := strconv.Unquote(lit.Value)
	return value
}

// constants returns the values of a directory's string constants of the type, or
// with the name prefix where the type is empty.
func constants(t *testing.T, dir, typeName, prefix string) []string {
	t.Helper()
	var out []string
	for _, file := range sources(t, dir) {
		ast.Inspect(file, func(n ast.Node) bool {
			spec, ok := n.(*ast.ValueSpec)
			if !ok || len(spec.Values) != 1 || !strings.HasPrefix(spec.Names[0].Name, prefix) {
				return true
			}
			ident, typed := spec.Type.(*ast.Ident)
			if value := literal(spec.Values[0]); value != "" && (typeName == "" || typed && ident.Name == typeName) {
				out = append(out, value)
			}
			return true
		})
	}
	return out
}

// faultCodes returns the reasons that the callers' side gives by itself.
func faultCodes(t *testing.T) []string {
	t.Helper()
	var out []string
	add := func(e ast.Expr) {
		if value := literal(e); value != "" {
			out = append(out, value)
		}
	}
	for _, file := range sources(t, "io/front") {
		ast.Inspect(file, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.KeyValueExpr:
				if key, ok := n.Key.(*ast.Ident); ok && key.Name == "Code" {
					add(n.Value)
				}
			case *ast.CallExpr:
				if fun, ok := n.Fun.(*ast.Ident); ok && fun.Name == "invalidRequest" {
					add(n.Args[0])
				}
			}
			return true
		})
	}
	return out
}

// events returns the names of the log events in a part of a file, and how many
// lines are logged there.
func events(part ast.Node) (names []string, lines int) {
	ast.Inspect(part, func(n ast.Node) bool {
		switch n := n.(type) {
		case *ast.KeyValueExpr:
			if name := literal(n.Value); literal(n.Key) == "event" && name != "" {
				names = append(names, name)
			}
		case *ast.CallExpr:
			fun, ok := n.Fun.(*ast.SelectorExpr)
			if !ok || len(n.Args) == 0 {
				return true
			}
			switch fun.Sel.Name {
			case "log":
				if name := literal(n.Args[0]); name != "" {
					names = append(names, name)
				}
			case "WithField":
				if literal(n.Args[0]) == "event" {
					names = append(names, literal(n.Args[1]))
				}
			case "Debug", "Info", "Warn", "Error":
				if literal(n.Args[0]) != "" {
					lines++
				}
			}
		}
		return true
	})
	return names, lines
}

// daemonEvents returns the log events of the daemon. Each line has to have one.
func daemonEvents(t *testing.T) []string {
	t.Helper()
	var all []string
	for _, file := range append(sources(t, "io"), sources(t, "core")...) {
		if strings.HasPrefix(file.Name.Name, "fake") {
			continue
		}
		for _, d := range file.Decls {
			fn, ok := d.(*ast.FuncDecl)
			if !ok {
				continue
			}
			names, lines := events(fn)
			assert.Assert(t, len(names) >= lines, "%s.%s: %d lines are logged, with the events %v", file.Name, fn.Name, lines, names)
			all = append(all, names...)
		}
	}
	return all
}

// metrics returns the names that the registry knows, those of libraries left out.
func metrics() []string {
	registry := prometheus.NewRegistry()
	metric.New(metric.Config{Registry: registry})
	return described(registry)
}

func described(registry *prometheus.Registry) []string {
	descs := make(chan *prometheus.Desc)
	go func() {
		registry.Describe(descs)
		close(descs)
	}()
	name := regexp.MustCompile(`fqName: "(gentianwell_[a-z_]+)"`)
	var out []string
	for d := range descs {
		if found := name.FindStringSubmatch(d.String()); found != nil {
			out = append(out, found[1])
		}
	}
	return out
}

// startKeys returns the names of the start-up settings.
func startKeys() []string {
	var out []string
	for _, of := range []reflect.Type{reflect.TypeFor[node.Config](), reflect.TypeFor[node.TLSFiles]()} {
		for i := range of.NumField() {
			name, _, _ := strings.Cut(of.Field(i).Tag.Get("json"), ",")
			out = append(out, name)
		}
	}
	return out
}

func serveFlags() []string {
	var out []string
	for _, flag := range serveCommand().Flags {
		out = append(out, "--"+flag.Names()[0])
	}
	return out
}

func entryFlags() []string {
	var out []string
	for _, flag := range entryCommand().Flags {
		out = append(out, "--"+flag.Names()[0])
	}
	return out
}

// entryMetrics returns the names of the metrics of an entry VM as they are served.
func entryMetrics(t *testing.T) []string {
	t.Helper()
	local := netip.MustParseAddrPort("127.0.0.1:1")
	log, _ := logtest.NewNullLogger()
	e, err := entry.New(entry.Options{
		Config: entry.Config{VM: "vm-1", CallerAddress: local, ReadinessAddress: local, StoreAddress: local},
		Source: platform.Source(platform.NewStore(platform.StoreConfig{Address: local}).Service()), Headers: platform.Wire(),
		Log: log, Now: time.Now, Seed: 1,
	})
	assert.NilError(t, err)
	return described(e.Registry())
}

// The operators' page names everything that an operator may meet.
func TestOperationsPageIsComplete(t *testing.T) {
	raw, err := os.ReadFile(operationsPage)
	assert.NilError(t, err)
	page := string(raw)
	tests := []struct {
		what  string
		names []string
		least int
	}{
		{"reasons of the runner", constants(t, "io/runner", "Reason", "Reason"), 16},
		{"reasons of the queue", constants(t, "core/sched", "Reason", "Reason"), 8},
		{"reasons of a choice", constants(t, "core/route", "Reason", "Reason"), 5},
		{"reasons for skipping a replica", constants(t, "core/route", "SkipReason", "Skip"), 5},
		{"reasons about retries", constants(t, "core/retry", "Reason", "Reason"), 11},
		{"reasons about VMs", constants(t, "core/member", "Reason", "Reason"), 9},
		{"verdicts on claims", constants(t, "core/claim", "Kind", "Kind"), 6},
		{"phases of a stop", constants(t, "core/drain", "Phase", "Phase"), 4},
		{"endings of a stop", constants(t, "core/drain", "Ending", "Ending"), 3},
		{"outcomes", constants(t, "core/call", "Outcome", "Outcome"), 3},
		{"reasons of the callers' side", faultCodes(t), 9},
		{"error types", constants(t, "io/front", "ErrorType", "ErrorType"), 5},
		{"headers", constants(t, "io/front", "", "Header"), 8},
		{"failures of operators' requests", constants(t, "io/oper", "FailureKind", "Failure"), 7},
		{"reasons of the proxy", constants(t, "io/proxy", "Reason", "Reason"), 16},
		{"flags of entry", entryFlags(), 3},
		{"metrics of entry", entryMetrics(t), 10},
		{"log events", daemonEvents(t), 20},
		{"metrics", metrics(), 11},
		{"start-up settings", startKeys(), 13},
		{"flags of serve", serveFlags(), 9},
	}
	for _, tt := range tests {
		t.Run(tt.what, func(t *testing.T) {
			assert.Assert(t, len(tt.names) >= tt.least, "found only %v", tt.names)
			for _, name := range tt.names {
				assert.Assert(t, strings.Contains(page, "`"+name+"`"), "docs/OPERATIONS.md does not name `%s`", name)
			}
		})
	}
}
