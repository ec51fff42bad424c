package meta

import "strconv"

// AppendGet appends the command for a read.
func AppendGet(to []byte, key, flags, parameters string) []byte {
	to = append(to, "mg "...)
	to = append(to, key...)
	return appendFlags(to, flags, parameters)
}

// AppendSet appends the command for a write, without the value and its line end.
func AppendSet(to []byte, key, flags, parameters string, length int) []byte {
	to = append(to, "ms "...)
	to = append(to, key...)
	to = append(to, ' ')
	to = strconv.AppendInt(to, int64(length), 10)
	return appendFlags(to, flags, parameters)
}

// appendFlags appends the flags of a command and its line end.
func appendFlags(to []byte, flags, parameters string) []byte {
	to = append(to, ' ')
	to = append(to, flags...)
	to = append(to, ' ', parametersFlag)
	to = append(to, parameters...)
	return append(to, lineEnd...)
}

// AppendValue appends the line that precedes a value.
func AppendValue(to []byte, id string, length int) []byte {
	to = append(to, "VA "...)
	to = strconv.AppendInt(to, int64(length), 10)
	to = append(to, ' ', idFlag)
	to = append(to, id...)
	return append(to, lineEnd...)
}

// AppendStored appends the reply to a write.
func AppendStored(to []byte, id, receipt string) []byte {
	to = append(to, "HD "...)
	to = append(to, idFlag)
	to = append(to, id...)
	to = append(to, ' ', receiptFlag)
	to = append(to, receipt...)
	return append(to, lineEnd...)
}

// AppendBusy appends the reply that a request is rejected and that a retry is safe; after, if above 0, is the delay
// before the retry in milliseconds.
func AppendBusy(to []byte, after int) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if after > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, int64(after), 10)
	}
	return append(to, lineEnd...)
}
