package meta

import (
	"bytes"
	"slices"
	"strconv"

	"bendtrestle/internal/ringbuffer"
)

// Commands is called with a client's commands: id is the flag O, figures the list of names and values of the
// flag P, flags all but that one.
type Commands interface {
	Get(key, id, flags, figures string)
	Set(key, id, flags, figures string, value []byte)
	Noop()
	Bad(answer string) // a command that can't be used, and what its sender is told

	// Reserve sets memory apart for a value of more than ValueBound, which begins; false: there is none, and it is skipped.
	Reserve(length int) bool
	Refused() // such a value has been skipped
}

// CommandReader reads a client's commands.
type CommandReader struct {
	cutter
	reserved bool // there is memory for the long value at hand
	skip     int  // bytes of one for which there was none
}

// Begun tells whether a command has begun and is not whole.
func (r *CommandReader) Begun() bool { return r.begun() }

// Read hands on the next command; false while it is not whole. After an error nothing more can be read.
func (r *CommandReader) Read(in *ringbuffer.Buffer, to Commands) (bool, error) {
	if r.skip > 0 {
		return r.pass(in, to), nil
	}
	verb, fields, whole, err := r.readLine(in)
	if !whole {
		return false, err
	}
	switch {
	case verb == "mn" && len(fields) == 1:
		to.Noop()
	case verb == "mg" && len(fields) >= 2:
		if id, flags, figures, fault := about(fields[1], fields[2:]); fault != "" {
			to.Bad(fault)
		} else {
			to.Get(string(fields[1]), id, flags, figures)
		}
	case verb == "ms" && len(fields) >= 3:
		if n := long(fields[2]); n > 0 && !r.reserved {
			if r.reserved = to.Reserve(n); !r.reserved {
				r.skip = n + len("\r\n")
				return r.pass(in, to), nil
			}
		}
		value, whole, err := r.readValue(in, fields[2], LongBound)
		if !whole {
			return false, err
		}
		if id, flags, figures, fault := about(fields[1], fields[3:]); fault != "" {
			to.Bad(fault)
		} else {
			to.Set(string(fields[1]), id, flags, figures, value)
		}
	default:
		to.Bad("ERROR")
	}
	r.next()
	r.reserved = false
	return true, nil
}

// pass skips what has come of a value for which there is no memory.
func (r *CommandReader) pass(in *ringbuffer.Buffer, to Commands) bool {
	n := min(in.Len(), r.skip)
	in.Drop(n)
	if r.skip -= n; r.skip > 0 {
		return false
	}
	r.next()
	to.Refused()
	return true
}

func about(key []byte, all [][]byte) (id, flags, figures, fault string) {
	id, figures = flag(all, 'O'), flag(all, 'P')
	others := slices.DeleteFunc(slices.Clone(all), func(f []byte) bool { return f[0] == 'P' })
	flags = string(bytes.Join(others, []byte(" ")))
	switch {
	case len(key) > keyBound:
		fault = "CLIENT_ERROR the key is too long"
	case id == "":
		fault = "CLIENT_ERROR the flag O is missing"
	}
	return id, flags, figures, fault
}

// AppendGet writes the command for a read.
func AppendGet(to []byte, key, flags, figures string) []byte {
	return appendAbout(append(append(to, "mg "...), key...), flags, figures)
}

// AppendSet writes the command for a write, without the value and its CRLF.
func AppendSet(to []byte, key, flags, figures string, length int) []byte {
	to = append(append(append(to, "ms "...), key...), ' ')
	return appendAbout(strconv.AppendInt(to, int64(length), 10), flags, figures)
}

func appendAbout(to []byte, flags, figures string) []byte {
	to = append(append(append(to, ' '), flags...), " P"...)
	return append(append(to, figures...), "\r\n"...)
}
