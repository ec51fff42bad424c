// Command standin2 plays the cases 6 to 10 of review/: it starts the router by the deploy file's command, stands in for
// clients, servers and the platform, and judges what they can see. Only the standard library is used.
package main

import (
	"fmt"
	"os"
)

// The exit statuses of a case.
const (
	ruleHeld    = 0
	ruleBroken  = 1
	couldNotRun = 2
)

var cases = map[string]func(*play) int{}

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin2 CASE FOLDER")
		os.Exit(couldNotRun)
	}
	p, err := newPlay(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(couldNotRun)
	}
	status := p.run(cases[os.Args[1]])
	fmt.Println(map[int]string{ruleHeld: "the rule held", ruleBroken: "the rule was BROKEN", couldNotRun: "could not run"}[status])
	os.Exit(status)
}
