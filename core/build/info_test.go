package build

import (
	"runtime"
	"runtime/debug"
	"testing"

	"gotest.tools/v3/assert"
)

func TestInfo(t *testing.T) {
	platform := runtime.GOOS + "/" + runtime.GOARCH
	for name, test := range map[string]struct {
		stamped *debug.BuildInfo
		want    Info
	}{
		"no stamp":         {nil, Info{Version, "unknown", TreeUnknown, runtime.Version(), platform, ""}},
		"not in a version": {&debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "GOAMD64", Value: "v1"}}}, Info{Version, "unknown", TreeUnknown, runtime.Version(), platform, "GOAMD64=v1"}},
		"clean": {
			&debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "false"}}},
			Info{Version, "abc", TreeClean, runtime.Version(), platform, ""},
		},
		"dirty": {
			&debug.BuildInfo{Settings: []debug.BuildSetting{{Key: "-race", Value: "true"}, {Key: "vcs.revision", Value: "abc"}, {Key: "vcs.modified", Value: "true"}}},
			Info{Version, "abc", TreeDirty, runtime.Version(), platform, "-race=true"},
		},
	} {
		t.Run(name, func(t *testing.T) {
			got := fromStamp(test.stamped)
			assert.Equal(t, got, test.want)
			assert.Equal(t, got.Fields()["commit"], test.want.Commit)
		})
	}
}
