// Command bendtrestle is the real router: it serves clients on a socket and routes their requests to cache servers.
//
// Files:
//
//	main.go     arguments and exit statuses
//	run.go      serving, and the log
//	check.go    what is in effect, printed
//	version.go  which build this is
package main

import (
	"errors"
	"fmt"
	"os"

	"github.com/alecthomas/kong"
)

type arguments struct {
	Operators string `help:"The operators' own file; without it everything is as the platform says." env:"GW_OPERATORS" placeholder:"FILE"`

	Run     runCommand     `cmd:"" default:"1" help:"Serve, until SIGTERM. This is what happens without arguments, too."`
	Check   checkCommand   `cmd:"" help:"Read both files, and print what is in effect or every fault."`
	Version versionCommand `cmd:"" help:"Print which build this is."`
}

// exitStatus is an error that ends the program with a status, after all was said. Any other error is printed, and the
// status is that of misuse.
type exitStatus int

const (
	exitFailed       exitStatus = 1
	exitInvalidInput exitStatus = 2 // arguments or a file cannot be used
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
