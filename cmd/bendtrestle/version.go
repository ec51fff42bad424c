package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints the version, the revision and the Go version of this build.
func (versionCommand) Run() error {
	info, known := debug.ReadBuildInfo()
	if !known {
		return errors.New("this build contains no version information")
	}
	revision := "unknown"
	modified := ""
	for _, setting := range info.Settings {
		switch {
		case setting.Key == "vcs.revision":
			revision = setting.Value
		case setting.Key == "vcs.modified" && setting.Value == "true":
			modified = ", with changes"
		}
	}
	fmt.Printf("bendtrestle %s, revision %s%s, %s\n", info.Main.Version, revision, modified, info.GoVersion)
	return nil
}
