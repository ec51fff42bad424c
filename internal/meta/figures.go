package meta

import "strings"

const (
	idFlag      = 'O' // opaque: comes back with the reply
	figuresFlag = 'P' // the list of names and values
	receiptFlag = 'c' // of a stored value
)

// flagValue gives the value of the flag that begins with a letter, empty if there is none.
func flagValue(fields [][]byte, letter byte) string {
	for _, field := range fields {
		if field[0] == letter {
			return string(field[1:])
		}
	}
	return ""
}

// Figure reads one of a list of names and values, as in "c=read,d=480", and tells whether it is there.
func Figure(figures, name string) (value string, there bool) {
	for figure := range strings.SplitSeq(figures, ",") {
		figureName, figureValue, hasValue := strings.Cut(figure, "=")
		if hasValue && figureName == name {
			return figureValue, true
		}
	}
	return "", false
}

// WithFigure sets one of a list of names and values, and leaves the others as they are.
func WithFigure(figures, name, value string) string {
	var all []string
	for figure := range strings.SplitSeq(figures, ",") {
		figureName, _, _ := strings.Cut(figure, "=")
		if figure != "" && figureName != name {
			all = append(all, figure)
		}
	}
	return strings.Join(append(all, name+"="+value), ",")
}
