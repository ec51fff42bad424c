package meta

import (
	"bytes"
	"slices"

	"bendtrestle/internal/ringbuffer"
)

// CommandHandler is called with a client's commands: id is the flag O, figures the list of names and values of the
// flag P, flags all but that one.
type CommandHandler interface {
	Get(key, id, flags, figures string)
	Set(key, id, flags, figures string, value []byte)
	Noop()
	Bad(answer string) // a command that can't be used, and what its sender is told

	// Reserve sets memory apart for a value of more than ValueBound, which begins; false: there is none, and it is
	// skipped.
	Reserve(length int) bool
	Refused() // such a value has been skipped
}

// CommandReader reads a client's commands. The zero value is ready for use.
type CommandReader struct {
	messageReader
	reserved  bool // there is memory for the long value at hand
	skipBytes int  // of a value, with its line end, for which there was no memory
}

// Begun tells whether a command has begun and is not complete.
func (r *CommandReader) Begun() bool { return r.begun() }

// Read hands on the next command; false while it is not complete. After an error nothing more can be read.
func (r *CommandReader) Read(in *ringbuffer.Buffer, to CommandHandler) (bool, error) {
	if r.skipBytes > 0 {
		return r.skipValue(in, to), nil
	}
	verb, fields, complete, err := r.readLine(in)
	if !complete {
		return false, err
	}
	switch {
	case verb == "mn" && len(fields) == 1:
		to.Noop()
	case verb == "mg" && len(fields) >= 2:
		handleGet(fields, to)
	case verb == "ms" && len(fields) >= 3:
		return r.readSet(in, fields, to)
	default:
		to.Bad("ERROR")
	}
	r.nextMessage()
	return true, nil
}

// handleGet hands on a read: mg <key> <flags>.
func handleGet(fields [][]byte, to CommandHandler) {
	flags, fault := parseFlags(fields[1], fields[2:])
	if fault != "" {
		to.Bad(fault)
		return
	}
	to.Get(string(fields[1]), flags.id, flags.others, flags.figures)
}

// readSet hands on a write once its value has come: ms <key> <length> <flags>.
func (r *CommandReader) readSet(in *ringbuffer.Buffer, fields [][]byte, to CommandHandler) (bool, error) {
	longLength := longValueLength(fields[2])
	if longLength > 0 && !r.reserved {
		r.reserved = to.Reserve(longLength)
		if !r.reserved {
			r.skipBytes = longLength + len(lineEnd)
			return r.skipValue(in, to), nil
		}
	}
	value, complete, err := r.readValue(in, fields[2], LongBound)
	if !complete {
		return false, err
	}
	flags, fault := parseFlags(fields[1], fields[3:])
	if fault != "" {
		to.Bad(fault)
	} else {
		to.Set(string(fields[1]), flags.id, flags.others, flags.figures, value)
	}
	r.nextMessage()
	r.reserved = false
	return true, nil
}

// skipValue skips what has come of a value for which there is no memory; true once all of it is skipped.
func (r *CommandReader) skipValue(in *ringbuffer.Buffer, to CommandHandler) bool {
	skipped := min(in.Len(), r.skipBytes)
	in.Drop(skipped)
	r.skipBytes -= skipped
	if r.skipBytes > 0 {
		return false
	}
	r.nextMessage()
	to.Refused()
	return true
}

// commandFlags are the flags of a command.
type commandFlags struct {
	id      string
	figures string
	others  string // all but the figures, the id included
}

// parseFlags reads a command's flags. The fault is what the sender of an unusable command is told, else empty.
func parseFlags(key []byte, fields [][]byte) (flags commandFlags, fault string) {
	if len(key) > maxKeyBytes {
		return commandFlags{}, "CLIENT_ERROR the key is too long"
	}
	flags.id = flagValue(fields, idFlag)
	if flags.id == "" {
		return commandFlags{}, "CLIENT_ERROR the flag O is missing"
	}
	flags.figures = flagValue(fields, figuresFlag)
	isFigures := func(field []byte) bool { return field[0] == figuresFlag }
	others := slices.DeleteFunc(slices.Clone(fields), isFigures)
	flags.others = string(bytes.Join(others, []byte(" ")))
	return flags, ""
}
