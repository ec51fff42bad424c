package simadapter

import (
	"strings"
	"testing"
)

const start = `{"m":"CLOCK","clock":1000000000,"turn":1}
{"m":"SHEET","table":0,"members":[{"server":7,"mode":"in_service","capacityHint":1}]}
{"m":"ENLIST","router":3,"seed":5,"setup":{"trafficTypes":[{"name":"view","effect":"retryable","promisedTime":100000000,"hardStop":500000000,"benefit":1}]}}
{"m":"DIRECTORY_UPDATE","router":3,"table":0,"index":1,"form":"disk"}
`

const accept = `{"m":"ACCEPT","router":3,"txn":11,"band":"view","remaining":400000000,"key":"k"}
`

const turn = `{"m":"YOUR_TURN"}
`

// serve plays a conversation and gives the reply, or the fault.
func serve(in string) string {
	var out strings.Builder
	if err := Serve(strings.NewReader(in), &out); err != nil {
		return err.Error()
	}
	return out.String()
}

func TestReplies(t *testing.T) {
	sent := `{"m":"CALL_OUT","router":3,"txn":11,"server":7,"limit":400000000}` + "\n"
	ok := `{"m":"OK","turn":1}` + "\n"
	next := `{"m":"CLOCK","clock":1000000000,"turn":1}` + "\n"
	for name, c := range map[string]struct{ in, want string }{
		"no input":       {"", ""},
		"empty batch":    {next + turn, ok},
		"an operation":   {start + accept + turn, sent + ok},
		"unknown event":  {start + `{"m":"NEWS","x":1}` + "\n" + turn, ok},
		"unknown field":  {start + strings.Replace(accept, `"key"`, `"x":[1],"key"`, 1) + turn, sent + ok},
		"a peer's words": {start + `{"m":"MESSAGE","router":3,"srcPeer":1,"body":"BwAAAP8="}` + "\n" + turn, ok},
		"not base64":     {start + `{"m":"MESSAGE","router":3,"body":"?"}` + "\n", "MESSAGE: body: not base64"},
		"a probe's end":  {start + `{"m":"PROBE_RESULT","router":3,"server":7,"reason":"served"}` + "\n" + turn, ok},
		"killed":         {start + `{"m":"KILL","router":3}` + "\n" + accept + turn, ok},
		"killed and back": {start + turn + strings.Replace(start, "}\n", "}\n"+`{"m":"KILL","router":3}`+"\n", 1) +
			accept + turn, ok + sent + ok},
		"superseded sheet": {start + `{"m":"SHEET","table":0,"members":[{"server":8,"mode":"in_service"}]}` + "\n" +
			`{"m":"DIRECTORY_UPDATE","router":3,"table":0,"index":2,"form":"snapshot"}` + "\n" + accept + turn,
			strings.Replace(sent, ":7,", ":8,", 1) + ok},
		"not JSON":           {"{\n", "malformed line: "},
		"not a batch":        {turn, "YOUR_TURN: outside a batch"},
		"batch in a batch":   {next + next, "CLOCK: inside a batch"},
		"end inside a batch": {start, "input ended inside a batch"},
		"missing field":      {start + `{"m":"ACCEPT","router":3,"band":"view"}` + "\n", "ACCEPT: txn: missing"},
		"wrong type":         {start + `{"m":"GONE","router":3,"txn":"x"}` + "\n", "GONE: txn: not a whole number"},
		"wrong setting": {strings.Replace(start, `"promisedTime":100000000`, `"promisedTime":"soon"`, 1),
			"ENLIST: setup: trafficTypes: promisedTime: not a number"},
	} {
		if got := serve(c.in); got != c.want && !(strings.HasSuffix(c.want, ": ") && strings.HasPrefix(got, c.want)) {
			t.Errorf("%s: got\n%s\nwant\n%s", name, got, c.want)
		}
	}
}

func TestPanicIsReportedForItsInstance(t *testing.T) {
	var out strings.Builder
	s := newSession(&out)
	i := &instance{s: s, id: 3}
	i.guard(func() { panic("index out of range") })
	s.out.Flush()
	if got, want := out.String(), `{"m":"FATAL","router":3,"what":"index out of range"}`+"\n"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestMegabyteBatch(t *testing.T) {
	var in strings.Builder
	in.WriteString(start)
	for range 20000 {
		in.WriteString(accept)
	}
	in.WriteString(turn)
	if got := serve(in.String()); !strings.HasSuffix(got, `{"m":"OK","turn":1}`+"\n") {
		t.Errorf("the reply ends in %q", got[max(0, len(got)-100):])
	}
}
