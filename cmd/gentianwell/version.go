package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/juju/errors"
	"github.com/urfave/cli/v3"

	"gentianwell/core/build"
)

const versionHelp = `Prints the version, the commit and the state of the tree that the program was built
from ("unknown" if it was built without them, as with -buildvcs=false), the Go
version, the operating system and architecture, and when the program's file was
written. The line "entry VM started" of the log names the same.`

func versionCommand() *cli.Command {
	return &cli.Command{
		Name: "version", Usage: "print the version and what the program was built from", Description: versionHelp,
		Action: func(_ context.Context, cmd *cli.Command) error {
			info := build.Read()
			_, err := fmt.Fprintf(cmd.Root().Writer, "gentianwell %s\ncommit %s\ntree %s\ngo %s\nplatform %s\nsettings %s\nfile written %s\n",
				info.Version, info.Commit, info.Tree, info.Go, info.Platform, info.Settings, programTime())
			return errors.Trace(err)
		},
	}
}

// programTime returns when the file of the running program was written, or the error that prevents
// that from being known.
func programTime() string {
	path, err := os.Executable()
	if err != nil {
		return err.Error()
	}
	info, err := os.Stat(path)
	if err != nil {
		return err.Error()
	}
	return info.ModTime().UTC().Format(time.RFC3339)
}

// buildFields returns the fields of the log line with which the program starts.
func buildFields() map[string]any {
	fields := build.Read().Fields()
	fields["fileWritten"] = programTime()
	return fields
}
