// Package tomlfile reads the files that people write, and tells each fault with file, line and key: what does not parse,
// keys that nobody knows, and what a reader finds wrong with a value.
package tomlfile

import (
	"bytes"
	"errors"
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/pelletier/go-toml/v2"
	"github.com/pelletier/go-toml/v2/unstable"
)

// File is one file that has been read.
type File struct {
	name   string
	lines  map[string]int // of each key, with the number of its table where there are many: "fault.2.kind"
	faults []error
}

// Read reads the file at a path into v.
func Read(path string, v any) (*File, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	return Parse(path, text, v)
}

// Parse reads a text into v; unknown keys are faults, all of them told.
func Parse(name string, text []byte, v any) (*File, error) {
	f := &File{name: name, lines: map[string]int{}}
	d := toml.NewDecoder(bytes.NewReader(text)).DisallowUnknownFields()
	err := d.Decode(v)
	var unknown *toml.StrictMissingError
	var bad *toml.DecodeError
	switch {
	case errors.As(err, &unknown):
		var all []error
		for _, e := range unknown.Errors {
			row, _ := e.Position()
			all = append(all, fmt.Errorf("%s:%d: %s: unknown key", name, row, strings.Join(e.Key(), ".")))
		}
		return nil, errors.Join(all...)
	case errors.As(err, &bad):
		row, _ := bad.Position()
		what := strings.TrimPrefix(bad.Error(), "toml: ")
		if key := strings.Join(bad.Key(), "."); key != "" {
			what = key + ": " + what
		}
		return nil, fmt.Errorf("%s:%d: %s", name, row, what)
	case err != nil:
		return nil, fmt.Errorf("%s: %w", name, err)
	}
	f.find(text)
	return f, nil
}

// find notes on which line each key stands.
func (f *File) find(text []byte) {
	p, table, numbers := unstable.Parser{}, "", map[string]int{}
	p.Reset(text)
	for p.NextExpression() {
		e := p.Expression()
		path, line := "", 0
		for keys := e.Key(); keys.Next(); {
			if line == 0 {
				line = p.Shape(keys.Node().Raw).Start.Line
			}
			if n := numbers[path]; n > 0 { // the last of the tables that this one stands in: team.type is team.1.type
				path = join(path, strconv.Itoa(n-1))
			}
			path = join(path, string(keys.Node().Data))
		}
		switch e.Kind {
		case unstable.Table:
			table = path
		case unstable.ArrayTable:
			table = join(path, strconv.Itoa(numbers[path]))
			numbers[path]++
		default:
			path = join(table, path)
		}
		if e.Kind != unstable.KeyValue {
			path = table
		}
		if f.lines[path] == 0 {
			f.lines[path] = line
		}
	}
}

func join(table, key string) string {
	if table == "" {
		return key
	}
	return table + "." + key
}

// Line is where a key stands; where it does not stand, the line of the table that would hold it, or 0.
func (f *File) Line(key string) int {
	for {
		if line := f.lines[key]; line > 0 {
			return line
		}
		i := strings.LastIndexByte(key, '.')
		if i < 0 {
			return 0
		}
		key = key[:i]
	}
}

// Has tells whether a key stands in the file.
func (f *File) Has(key string) bool { return f.lines[key] > 0 }

// Fault notes what is wrong with a key.
func (f *File) Fault(key, format string, about ...any) {
	at := f.name
	if line := f.Line(key); line > 0 {
		at += ":" + strconv.Itoa(line)
	}
	f.faults = append(f.faults, fmt.Errorf("%s: %s: %s", at, key, fmt.Sprintf(format, about...)))
}

// Err is all faults, a line each.
func (f *File) Err() error { return errors.Join(f.faults...) }
