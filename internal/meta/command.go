package meta

import (
	"bytes"
	"slices"

	"bendtrestle/internal/ringbuffer"
)

// CommandHandler handles a client's commands. In its methods id is the value of the flag O, parameters the list of
// names and values in the flag P, and flags all flags except P.
type CommandHandler interface {
	Get(key, id, flags, parameters string)
	Set(key, id, flags, parameters string, value []byte)
	Noop()
	BadCommand(answer string) // an invalid command; answer is the error for its sender

	// Reserve reserves memory for a value of more than a few KiB, which is about to be received. If it returns false,
	// there is no memory, and the value is skipped.
	Reserve(length int) bool
	ValueSkipped() // a value for which Reserve returned false has been skipped
}

// CommandReader reads a client's commands. The zero value is ready for use.
type CommandReader struct {
	messageReader
	reserved  bool // memory is reserved for the current value
	skipBytes int  // bytes still to skip of a value without memory and of its line end
}

// Begun reports whether a command has begun and is not complete.
func (r *CommandReader) Begun() bool { return r.begun() }

// Read passes the next command to a handler, and returns false while it is incomplete. After an error the stream
// cannot be read any further.
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
		to.BadCommand("ERROR")
	}
	r.nextMessage()
	return true, nil
}

// handleGet handles a read: mg <key> <flags>.
func handleGet(fields [][]byte, to CommandHandler) {
	flags, fault := parseFlags(fields[1], fields[2:])
	if fault != "" {
		to.BadCommand(fault)
		return
	}
	to.Get(string(fields[1]), flags.id, flags.others, flags.parameters)
}

// readSet handles a write after its value has been received: ms <key> <length> <flags>.
func (r *CommandReader) readSet(in *ringbuffer.Buffer, fields [][]byte, to CommandHandler) (bool, error) {
	length := lengthToReserve(fields[2], MaxLongValueBytes)
	if length > 0 && !r.reserved {
		r.reserved = to.Reserve(length)
		if !r.reserved {
			r.skipBytes = length + len(lineEnd)
			return r.skipValue(in, to), nil
		}
	}
	value, complete, err := r.readValue(in, fields[2], MaxLongValueBytes)
	if !complete {
		return false, err
	}
	flags, fault := parseFlags(fields[1], fields[3:])
	if fault != "" {
		to.BadCommand(fault)
	} else {
		to.Set(string(fields[1]), flags.id, flags.others, flags.parameters, value)
	}
	r.nextMessage()
	r.reserved = false
	return true, nil
}

// skipValue skips the received bytes of a value for which there is no memory. It returns true when the value is
// skipped as a whole.
func (r *CommandReader) skipValue(in *ringbuffer.Buffer, to CommandHandler) bool {
	skipped := min(in.Len(), r.skipBytes)
	in.Drop(skipped)
	r.skipBytes -= skipped
	if r.skipBytes > 0 {
		return false
	}
	r.nextMessage()
	to.ValueSkipped()
	return true
}

// commandFlags are the flags of a command.
type commandFlags struct {
	id         string
	parameters string
	others     string // all flags except the parameters, including the id
}

// parseFlags parses a command's flags. If they are invalid, fault is the error for the command's sender.
func parseFlags(key []byte, fields [][]byte) (flags commandFlags, fault string) {
	if len(key) > maxKeyBytes {
		return commandFlags{}, "CLIENT_ERROR the key is too long"
	}
	flags.id = flagValue(fields, idFlag)
	if flags.id == "" {
		return commandFlags{}, "CLIENT_ERROR the flag O is missing"
	}
	flags.parameters = flagValue(fields, parametersFlag)
	isParameters := func(field []byte) bool { return field[0] == parametersFlag }
	others := slices.DeleteFunc(slices.Clone(fields), isParameters)
	flags.others = string(bytes.Join(others, []byte(" ")))
	return flags, ""
}
