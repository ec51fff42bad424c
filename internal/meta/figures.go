package meta

import "strings"

const (
	idFlag         = 'O' // opaque: the reply repeats it
	parametersFlag = 'P' // the list of names and values
	receiptFlag    = 'c' // the receipt of a stored value
)

// flagValue returns the value of the flag that begins with a letter, or an empty string if there is none.
func flagValue(fields [][]byte, letter byte) string {
	for _, field := range fields {
		if field[0] == letter {
			return string(field[1:])
		}
	}
	return ""
}

// Parameter returns the value of a name in a list such as "c=read,d=480", and whether the list has it.
func Parameter(parameters, name string) (value string, there bool) {
	for parameter := range strings.SplitSeq(parameters, ",") {
		parameterName, parameterValue, hasValue := strings.Cut(parameter, "=")
		if hasValue && parameterName == name {
			return parameterValue, true
		}
	}
	return "", false
}

// WithParameter returns a list of names and values with the value of one name set and the others unchanged.
func WithParameter(parameters, name, value string) string {
	var all []string
	for parameter := range strings.SplitSeq(parameters, ",") {
		parameterName, _, _ := strings.Cut(parameter, "=")
		if parameter != "" && parameterName != name {
			all = append(all, parameter)
		}
	}
	return strings.Join(append(all, name+"="+value), ",")
}
