package meta

import "strconv"

// AppendGet writes the command for a read.
func AppendGet(to []byte, key, flags, figures string) []byte {
	to = append(to, "mg "...)
	to = append(to, key...)
	return appendFlags(to, flags, figures)
}

// AppendSet writes the command for a write, without the value and its line end.
func AppendSet(to []byte, key, flags, figures string, length int) []byte {
	to = append(to, "ms "...)
	to = append(to, key...)
	to = append(to, ' ')
	to = strconv.AppendInt(to, int64(length), 10)
	return appendFlags(to, flags, figures)
}

// appendFlags writes the flags of a command and the end of its line.
func appendFlags(to []byte, flags, figures string) []byte {
	to = append(to, ' ')
	to = append(to, flags...)
	to = append(to, ' ', figuresFlag)
	to = append(to, figures...)
	return append(to, lineEnd...)
}

// AppendValue writes the line before a value.
func AppendValue(to []byte, id string, length int) []byte {
	to = append(to, "VA "...)
	to = strconv.AppendInt(to, int64(length), 10)
	to = append(to, ' ', idFlag)
	to = append(to, id...)
	return append(to, lineEnd...)
}

// AppendStored writes the answer to a write.
func AppendStored(to []byte, id, receipt string) []byte {
	to = append(to, "HD "...)
	to = append(to, idFlag)
	to = append(to, id...)
	to = append(to, ' ', receiptFlag)
	to = append(to, receipt...)
	return append(to, lineEnd...)
}

// AppendBusy writes that a retry is safe, after so many milliseconds if that is not 0.
func AppendBusy(to []byte, after int) []byte {
	to = append(to, "SERVER_ERROR busy"...)
	if after > 0 {
		to = append(to, ' ')
		to = strconv.AppendInt(to, int64(after), 10)
	}
	return append(to, lineEnd...)
}
