// Command standin plays the cases of the review: the stand-ins for clients, cache servers and discovery, and the judge.
package main

import (
	"fmt"
	"os"
)

// Exit codes of a case.
const (
	held   = 0
	broken = 1
	notRun = 2
)

func main() {
	if len(os.Args) == 4 && os.Args[1] == "server" {
		serverMain(os.Args[2], os.Args[3])
		return
	}
	cases := map[string]func(folder string, rec *record, trouble bool) int{
		"case1": case1,
		"case2": case2,
		"case3": case3,
	}
	if len(os.Args) != 4 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin caseN RECORD FOLDER, or standin server NAME ADDRESS")
		os.Exit(notRun)
	}
	out, err := os.Create(os.Args[2])
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(notRun)
	}
	rec := &record{out: out}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.add("%s, trouble: %v", os.Args[1], trouble)
	verdict := cases[os.Args[1]](os.Args[3], rec, trouble)
	rec.add("exit code %d", verdict)
	os.Exit(verdict)
}
