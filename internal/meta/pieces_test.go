package meta

import (
	"strings"
	"testing"
)

// A command in any form that the protocol allows must be read as the same command: with its flags and parameters in any
// order, with several commands in one segment, and cut at any position.
func TestCommandsOfEveryFormCutAnywhere(t *testing.T) {
	for _, end := range []string{"\r\n", "\n"} {
		for _, parameters := range permutations("c=read", "d=480", "r=1") {
			p := strings.Join(parameters, ",")
			for _, flags := range permutations("v", "Oa1", "P"+p) {
				others := strings.Join(without(flags, "P"+p), " ")
				all := strings.Join(flags, " ")
				setFlags := strings.Join(without(flags, "v"), " ")
				stream := "mg k " + all + end + "ms k 3 " + setFlags + end + "m\r\n\r\n" + "mn" + end
				want := "get k a1 [" + others + "] " + p + `; set k a1 [Oa1] ` + p + ` "m\r\n"; noop`
				checkCutAnywhere(t, stream, want, commands)
			}
		}
	}
	// Text within a value or a key that looks like a command, a flag or a line end is part of the value or the key.
	checkCutAnywhere(t, "ms Ok 12 Oa Pc=x\r\nmg k v\r\nmn\r\n\r\nmg Pk v Ob\r\n",
		`set Ok a [Oa] c=x "mg k v\r\nmn\r\n"; get Pk b [v Ob] `, commands)
	checkCutAnywhere(t, "mg  k   v  Oa \r\nms k 0 Oa\r\n\r\nmn \r\n", `get k a [v Oa] ; set k a [Oa]  ""; noop`, commands)
	// An invalid command does not affect the commands around it.
	checkCutAnywhere(t, "mn\r\nhello\r\n\r\nmg\r\nmg k v\r\nmn\r\n",
		"noop; bad ERROR; bad ERROR; bad ERROR; bad CLIENT_ERROR the flag O is missing; noop", commands)
}

// A reply in any form that the protocol allows must be read as the same reply, wherever the stream is cut.
func TestRepliesOfEveryFormCutAnywhere(t *testing.T) {
	for _, flags := range permutations("Oa", "h0", "Z") {
		checkCutAnywhere(t, "VA 4 "+strings.Join(flags, " ")+"\r\nV\r\n\n\r\nMN\r\n", `value a "V\r\n\n"; ready`, replies)
	}
	for _, flags := range permutations("Oc1", "cO77") {
		checkCutAnywhere(t, "HD "+strings.Join(flags, " ")+"\r\nVA 0 Ob h1\r\n\r\n", `stored c1 O77; value b ""`, replies)
	}
	checkCutAnywhere(t, "SERVER_ERROR busy\r\nSERVER_ERROR failed\r\nSERVER_ERROR busy 20\r\nHD Oa c7\r\n",
		"busy; failed; busy; stored a 7", replies)
}
