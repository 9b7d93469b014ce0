// Package build tells which program is running: its version, the commit and the state of the tree
// that it was built from, and the Go version and the architecture.
//
// # Usage
//
//	log.WithFields(build.Read().Fields()).Info("started")
//
// The commit is known if the go command stamped it, which it does not with -buildvcs=false.
package build

import (
	"runtime"
	"runtime/debug"
	"strings"
)

// Version is the version of gentianwell.
const Version = "0.1.0"

// unknown stands for what was not stamped into the program.
const unknown = "unknown"

// Info describes a program.
type Info struct {
	Version string
	// Commit is the commit that the program was built from, Tree whether its tree had changes.
	Commit string
	Tree   Tree
	// Go is the Go version, Platform the operating system and the architecture.
	Go, Platform string
	// Settings are the settings of the build that change the program, such as -race.
	Settings string
}

// Tree is the state of the tree that a program was built from.
type Tree string

// The states of a tree.
const (
	TreeClean   Tree = "clean"
	TreeDirty   Tree = "dirty"
	TreeUnknown Tree = unknown
)

// Read returns the description of the running program.
func Read() Info {
	stamped, _ := debug.ReadBuildInfo()
	return fromStamp(stamped)
}

// fromStamp returns the description of a program with a stamp, which may be nil.
func fromStamp(stamped *debug.BuildInfo) Info {
	info := Info{Version: Version, Commit: unknown, Tree: TreeUnknown, Go: runtime.Version(), Platform: runtime.GOOS + "/" + runtime.GOARCH}
	if stamped == nil {
		return info
	}
	var settings []string
	for _, s := range stamped.Settings {
		switch s.Key {
		case "vcs.revision":
			info.Commit = s.Value
		case "vcs.modified":
			info.Tree = TreeClean
			if s.Value == "true" {
				info.Tree = TreeDirty
			}
		case "-race", "-tags", "GOEXPERIMENT", "GOAMD64", "GOARM64", "DefaultGODEBUG":
			settings = append(settings, s.Key+"="+s.Value)
		}
	}
	info.Settings = strings.Join(settings, " ")
	return info
}

// Fields returns the description as fields of a log line.
func (i Info) Fields() map[string]any {
	return map[string]any{
		"version": i.Version, "commit": i.Commit, "tree": i.Tree, "go": i.Go, "platform": i.Platform, "buildSettings": i.Settings,
	}
}
