package meta

import (
	"strings"
	"testing"

	"bendtrestle/internal/ringbuffer"
)

// readParts feeds parts one after another to a reader and returns the recorded calls, or the error.
func readParts(parts []string, next reader) string {
	var c recordedCalls
	in := ringbuffer.New(64)
	for _, part := range parts {
		for len(part) > 0 {
			part = part[in.Write([]byte(part)):]
			for in.Len() > 0 {
				if _, err := next(in, &c); err != nil {
					return err.Error()
				}
			}
		}
	}
	return strings.Join(c, "; ")
}

// checkCutAnywhere feeds a stream byte by byte, then cut at every position and at every two positions.
func checkCutAnywhere(t *testing.T, stream, want string, fresh func() reader) {
	t.Helper()
	check := func(parts ...string) {
		if got := readParts(parts, fresh()); got != want {
			t.Errorf("%q: got %s, want %s", parts, got, want)
		}
	}
	check(strings.Split(stream, "")...)
	for i := range len(stream) + 1 {
		for j := i; j <= len(stream); j++ {
			check(stream[:i], stream[i:j], stream[j:])
		}
	}
}

// permutations returns all orders of words.
func permutations(words ...string) (all [][]string) {
	if len(words) == 0 {
		return [][]string{nil}
	}
	for i, first := range words {
		rest := append(append([]string{}, words[:i]...), words[i+1:]...)
		for _, o := range permutations(rest...) {
			all = append(all, append([]string{first}, o...))
		}
	}
	return all
}

// without returns all words except one.
func without(words []string, one string) (all []string) {
	for _, w := range words {
		if w != one {
			all = append(all, w)
		}
	}
	return all
}
