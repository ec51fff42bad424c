package simadapter

import (
	"strings"
	"testing"
)

// Lines of a session with one router and one server.
const (
	startLines = `{"m":"CLOCK","clock":1000000000,"turn":1}
{"m":"SHEET","table":0,"members":[{"server":7,"mode":"in_service","capacityHint":1}]}
{"m":"ENLIST","router":3,"seed":5,"setup":{"trafficTypes":[` +
		`{"name":"view","effect":"retryable","promisedTime":100000000,"hardStop":500000000,"benefit":1}]}}
{"m":"DIRECTORY_UPDATE","router":3,"table":0,"index":1,"form":"disk"}
`
	requestLine = `{"m":"ACCEPT","router":3,"txn":11,"band":"view","remaining":400000000,"key":"k"}
`
	endLine   = `{"m":"YOUR_TURN"}` + "\n"
	beginLine = `{"m":"CLOCK","clock":1000000000,"turn":1}` + "\n"
)

// serve runs a session and returns the reply, or the text of the error.
func serve(in string) string {
	var out strings.Builder
	if err := Serve(strings.NewReader(in), &out); err != nil {
		return err.Error()
	}
	return out.String()
}

func TestReplies(t *testing.T) {
	const (
		attempt = `{"m":"CALL_OUT","router":3,"txn":11,"server":7,"limit":400000000}` + "\n"
		done    = `{"m":"OK","turn":1}` + "\n"
		kill    = `{"m":"KILL","router":3}` + "\n"
	)
	killedFirst := strings.Replace(startLines, "}\n", "}\n"+kill, 1)
	replacedSheet := `{"m":"SHEET","table":0,"members":[{"server":8,"mode":"in_service"}]}` + "\n" +
		`{"m":"DIRECTORY_UPDATE","router":3,"table":0,"index":2,"form":"snapshot"}` + "\n"
	for _, c := range []struct{ name, in, want string }{
		{"no input", "", ""},
		{"empty batch", beginLine + endLine, done},
		{"a request", startLines + requestLine + endLine, attempt + done},
		{"unknown event", startLines + `{"m":"NEWS","x":1}` + "\n" + endLine, done},
		{"unknown field", startLines + strings.Replace(requestLine, `"key"`, `"x":[1],"key"`, 1) + endLine,
			attempt + done},
		{"a peer's gossip", startLines + `{"m":"MESSAGE","router":3,"srcPeer":1,"body":"BwAAAP8="}` + "\n" + endLine,
			done},
		{"not base64", startLines + `{"m":"MESSAGE","router":3,"body":"?"}` + "\n", "MESSAGE: body: not base64"},
		{"probe result", startLines + `{"m":"PROBE_RESULT","router":3,"server":7,"reason":"served"}` + "\n" + endLine,
			done},
		{"killed", startLines + kill + requestLine + endLine, done},
		{"killed and started again", startLines + endLine + killedFirst + requestLine + endLine, done + attempt + done},
		{"replaced endpoint list", startLines + replacedSheet + requestLine + endLine,
			strings.Replace(attempt, ":7,", ":8,", 1) + done},
		{"not JSON", "{\n", "malformed line: "},
		{"event outside a batch", endLine, "YOUR_TURN: outside a batch"},
		{"batch in a batch", beginLine + beginLine, "CLOCK: inside a batch"},
		{"end inside a batch", startLines, "input ended inside a batch"},
		{"missing field", startLines + `{"m":"ACCEPT","router":3,"band":"view"}` + "\n", "ACCEPT: txn: missing"},
		{"wrong type", startLines + `{"m":"GONE","router":3,"txn":"x"}` + "\n", "GONE: txn: not a whole number"},
		{"wrong setting", strings.Replace(startLines, `"promisedTime":100000000`, `"promisedTime":"soon"`, 1),
			"ENLIST: setup: trafficTypes: promisedTime: not a number"},
	} {
		got := serve(c.in)
		isPrefix := strings.HasSuffix(c.want, ": ") && strings.HasPrefix(got, c.want)
		if got != c.want && !isPrefix {
			t.Errorf("%s: got\n%s\nwant\n%s", c.name, got, c.want)
		}
	}
}

func TestPanicIsReportedForItsRouter(t *testing.T) {
	var out strings.Builder
	s := newSession(&out)
	failing := &router{session: s, id: 3}
	failing.reportPanic(func() { panic("index out of range") })
	s.reply.out.Flush()
	if got, want := out.String(), `{"m":"FATAL","router":3,"what":"index out of range"}`+"\n"; got != want {
		t.Errorf("got %s, want %s", got, want)
	}
}

func TestLargeBatch(t *testing.T) {
	var in strings.Builder
	in.WriteString(startLines)
	for range 20000 {
		in.WriteString(requestLine)
	}
	in.WriteString(endLine)
	if got := serve(in.String()); !strings.HasSuffix(got, `{"m":"OK","turn":1}`+"\n") {
		t.Errorf("got a reply that ends with %q, want one that ends with OK", got[max(0, len(got)-100):])
	}
}
