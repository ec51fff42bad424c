package meta

import "strings"

const (
	idFlag      = 'O' // opaque: the reply repeats it
	figuresFlag = 'P' // the list of names and values
	receiptFlag = 'c' // the receipt of a stored value
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

// Figure returns the value of a name in a list such as "c=read,d=480", and whether the list has it.
func Figure(figures, name string) (value string, there bool) {
	for figure := range strings.SplitSeq(figures, ",") {
		figureName, figureValue, hasValue := strings.Cut(figure, "=")
		if hasValue && figureName == name {
			return figureValue, true
		}
	}
	return "", false
}

// WithFigure returns a list of names and values with the value of one name set and the others unchanged.
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
