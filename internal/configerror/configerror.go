// Package configerror defines the error for one key of a configuration file. The platform's JSON file (internal/config,
// internal/settings) and the TOML files of operators and scenarios (internal/tomlfile) use it. Callers and tests can
// inspect its fields, and its text is one line that says what to correct:
//
//	operators.toml:14: team.0.budget: -3 is below 0
package configerror

import "fmt"

// FieldError reports what is wrong with one key. Either Want says what the value should be, or Problem describes the
// fault.
type FieldError struct {
	File    string // its path; empty: the text did not come from a file
	Line    int    // of the key, or of the table or object that should contain it; 0: unknown
	Key     string // with the enclosing keys, in the file's notation; empty: the error is about the whole file
	Value   string // as the message shows it; empty: there is no value, or the message does not show it
	Want    string // such as "an address and a port"; empty: see Problem
	Problem string // such as "unknown key"
}

// Error returns one line: the location, the key and the problem.
func (e *FieldError) Error() string {
	return e.location() + e.Message()
}

// location returns the file and line, as a prefix of the message.
func (e *FieldError) location() string {
	switch {
	case e.File == "":
		return ""
	case e.Line == 0:
		return e.File + ": "
	}
	return fmt.Sprintf("%s:%d: ", e.File, e.Line)
}

// Message returns the key and the problem, without the file and line.
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
