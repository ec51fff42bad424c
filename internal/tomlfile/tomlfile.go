// Package tomlfile reads TOML files and reports each fault as a configerror.FieldError with file, line and key: syntax
// errors, unknown keys, and values that the caller rejects.
//
// Read and Parse fill a struct by its toml tags and return a File. The caller then checks the struct and reports faults
// by Fault or Want; Err returns all that were reported, one on each line. A File is used by one goroutine.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strings"

	"bendtrestle/internal/configerror"

	"github.com/pelletier/go-toml/v2"
)

// File is one file that has been read.
type File struct {
	name   string
	lines  map[string]int // line of each key; tables of an array are numbered from 0: "fault.2.kind"
	faults []error
}

// Read reads the file at a path into value, a pointer to a struct.
func Read(path string, value any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, value)
}

// Parse reads a text into value. The error joins all unknown keys, or is about the first value that cannot be decoded.
func Parse(name string, text []byte, value any) (*File, error) {
	decoder := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := decoder.Decode(value)
	if err != nil {
		return nil, decodingError(name, err)
	}
	return &File{name: name, lines: keyLines(text)}, nil
}

// decodingError converts an error of the TOML library to FieldErrors.
func decodingError(name string, err error) error {
	var unknown *toml.StrictMissingError
	if errors.As(err, &unknown) {
		var all []error
		for _, key := range unknown.Errors {
			line, _ := key.Position()
			all = append(all, &configerror.FieldError{File: name, Line: line, Key: joinKey(key.Key()), Problem: "unknown key"})
		}
		return errors.Join(all...)
	}
	var malformed *toml.DecodeError
	if errors.As(err, &malformed) {
		line, _ := malformed.Position()
		problem := strings.TrimPrefix(malformed.Error(), "toml: ")
		return &configerror.FieldError{File: name, Line: line, Key: joinKey(malformed.Key()), Problem: problem}
	}
	return fmt.Errorf("%s: %w", name, err)
}

func joinKey(parts []string) string { return strings.Join(parts, ".") }

// Line returns the line of a key. For a key that is not in the file it returns the line of the innermost enclosing
// table that is in the file, or 0.
func (f *File) Line(key string) int {
	for {
		line := f.lines[key]
		if line > 0 {
			return line
		}
		dot := strings.LastIndexByte(key, '.')
		if dot < 0 {
			return 0
		}
		key = key[:dot]
	}
}

// Has reports whether a key is in the file.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Fault reports a problem with a key.
func (f *File) Fault(key, format string, args ...any) {
	f.report(&configerror.FieldError{Key: key, Problem: fmt.Sprintf(format, args...)})
}

// Want reports that the value of a key is not what it should be: "VALUE is not WANT".
func (f *File) Want(key string, value any, want string) {
	f.report(&configerror.FieldError{Key: key, Value: formatValue(value), Want: want})
}

func (f *File) report(fault *configerror.FieldError) {
	fault.File = f.name
	fault.Line = f.Line(fault.Key)
	f.faults = append(f.faults, fault)
}

// formatValue formats a value for a message: strings in quotes, other values as fmt.Sprint does.
func formatValue(value any) string {
	text, isText := value.(string)
	if isText {
		return fmt.Sprintf("%q", text)
	}
	return fmt.Sprint(value)
}

// Err returns all reported faults as one error with a line for each, or nil if there are none.
func (f *File) Err() error { return errors.Join(f.faults...) }
