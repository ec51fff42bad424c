package main

import (
	"errors"
	"fmt"
	"runtime/debug"
)

type versionCommand struct{}

// Run prints which build this is.
func (versionCommand) Run() error {
	info, known := debug.ReadBuildInfo()
	if !known {
		return errors.New("this build does not tell its version")
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
