// Command bendtrestle is the router: it serves clients on a socket and routes their requests to cache servers.
//
// Files:
//
//	main.go     arguments and exit statuses
//	run.go      the command run, and the log
//	check.go    the command check, which prints the settings in effect
//	version.go  the command version
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Operators string `help:"The operators' file; without it the platform's configuration and the defaults apply." env:"GW_OPERATORS" placeholder:"FILE"`

	Run     runCommand     `cmd:"" default:"1" help:"Serve until SIGTERM. This is the default command."`
	Check   checkCommand   `cmd:"" help:"Read both files and print the settings in effect, or every fault."`
	Version versionCommand `cmd:"" help:"Print the version of this build."`
}

// exitStatus is an error that sets the program's exit status; its cause has already been printed or logged. Any other
// error is printed by main, and the status is exitInvalidInput.
type exitStatus int

const (
	exitFailed       exitStatus = 1
	exitInvalidInput exitStatus = 2 // invalid arguments or files
)

func (e exitStatus) Error() string { return fmt.Sprint("exit status ", int(e)) }

func main() {
	var args arguments
	parser := kong.Must(&args, kong.Name("bendtrestle"), kong.UsageOnError(),
		kong.Description("A router for fleets of cache servers. GW_CONFIG names the platform's configuration."))
	command, err := parser.Parse(os.Args[1:])
	if err == nil {
		err = command.Run(&args)
	}
	if err == nil {
		return
	}
	var status exitStatus
	if !errors.As(err, &status) {
		fmt.Fprintln(os.Stderr, "bendtrestle:", err)
		status = exitInvalidInput
	}
	os.Exit(int(status))
}
