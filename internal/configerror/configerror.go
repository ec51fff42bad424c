// Package configerror has the error that tells what is wrong with one key of a configuration file: of the platform's
// JSON file (internal/config, internal/settings) as well as of the files that people write (internal/tomlfile). It is
// a value that callers and tests can look into, and a line that a person can act on:
//
//	operators.toml:14: team.0.budget: -3 is below 0
package configerror

import "fmt"

// FieldError reports what is wrong with one key. It says so either by Want, what would be right, or in words of its
// own, by Problem.
type FieldError struct {
	File    string // its path; empty: the text did not come from a file
	Line    int    // of the key, or of what should hold it; 0: unknown
	Key     string // with those that hold it, in the file's way; empty: the whole file is at fault
	Value   string // as the message shows it; empty: the key has none, or the message does not show it
	Want    string // "an address and a port"; empty: Problem says it
	Problem string // "unknown key"
}

// Error is one line: where, which key, what is wrong.
func (e *FieldError) Error() string {
	return e.location() + e.Message()
}

// location is the place in the file.
func (e *FieldError) location() string {
	switch {
	case e.File == "":
		return ""
	case e.Line == 0:
		return e.File + ": "
	}
	return fmt.Sprintf("%s:%d: ", e.File, e.Line)
}

// Message is the key and what is wrong with it, without the place in the file.
func (e *FieldError) Message() string {
	if e.Key == "" {
		return e.problem()
	}
	return e.Key + ": " + e.problem()
}

func (e *FieldError) problem() string {
	switch {
	case e.Want == "":
		return e.Problem
	case e.Value == "":
		return "not " + e.Want
	}
	return e.Value + " is not " + e.Want
}
