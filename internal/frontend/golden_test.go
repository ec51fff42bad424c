package frontend

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"testing"

	"bendtrestle/internal/requestcore"
)

var writeGolden = flag.Bool("write-golden", false, "regenerate testdata/*.golden from the current code")

// golden compares bytes with a golden file, which the build of 15122f5 wrote.
func golden(t *testing.T, name string, got []byte) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, got, 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(got, want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// bodyOfLength is a body stream of which only the length is read.
type bodyOfLength int

func (b bodyOfLength) Length() int                     { return int(b) }
func (bodyOfLength) SetOnBroken(func())                {}
func (bodyOfLength) Broken() bool                      { return false }
func (bodyOfLength) StartReading(requestcore.BodySink) {}
func (bodyOfLength) ResumeReading()                    {}
func (bodyOfLength) Discard()                          {}

// TestGoldenMemcacheAnswers compares the bytes of each kind of answer that the memcache codec returns.
func TestGoldenMemcacheAnswers(t *testing.T) {
	codec := Memcache(nil)
	read := &requestcore.Request{ID: "r1"}
	write := &requestcore.Request{ID: "w1", Write: true}
	var text bytes.Buffer
	line := func(name string, parts ...[]byte) { fmt.Fprintf(&text, "%s: %q\n", name, parts) }
	line("protocol error", codec.ProtocolError(errors.New("a line is too long")))
	line("unfinished", codec.CommandTimeout())
	line("value", codec.Succeeded(read, requestcore.Result{Value: []byte("abc")})...)
	line("empty value", codec.Succeeded(read, requestcore.Result{})...)
	line("body stream", codec.Succeeded(read, requestcore.Result{Body: bodyOfLength(99999)})...)
	line("stored", codec.Succeeded(write, requestcore.Result{Receipt: "17"})...)
	line("stored without a receipt", codec.Succeeded(write, requestcore.Result{})...)
	for _, after := range []float64{0, 0.0001, 0.25, 1, 2.0005} {
		line(fmt.Sprint("rejected, retry after ", after), codec.Rejected(read, after))
	}
	line("failed", codec.Failed(write))
	golden(t, "memcache-answers", text.Bytes())
}

// TestGoldenMemcacheConversation compares the bytes that a client receives for commands that need no cache server.
func TestGoldenMemcacheConversation(t *testing.T) {
	var text bytes.Buffer
	untilClosed := func(s testServer, name, commands string) {
		conn, in := s.dial()
		io.WriteString(conn, commands)
		answers, err := io.ReadAll(in)
		fmt.Fprintf(&text, "%s: %q -> %q %v\n", name, commands, answers, err)
	}
	untilAnswered := func(s testServer, name, commands, end string) {
		conn, in := s.dial()
		io.WriteString(conn, commands)
		var answers []byte
		for !bytes.HasSuffix(answers, []byte(end)) {
			b, err := in.ReadByte()
			if err != nil {
				t.Fatalf("%s: %q, then %v", name, answers, err)
			}
			answers = append(answers, b)
		}
		fmt.Fprintf(&text, "%s: %q -> %q\n", name, commands, answers)
	}
	s := startServer(t, ampleLimits)
	untilAnswered(s, "starting", "mn\r\n", "starting\r\n")
	s.onLoop(s.SetReady)
	untilAnswered(s, "ready", "mn\r\n", "MN\r\n")
	untilAnswered(s, "no quota", "mg k v O1 Pc=t,tenant=nobody\r\nmn\r\n", "MN\r\n")
	untilAnswered(s, "unknown class", "mg k v O2 Pc=u\r\nmn\r\n", "MN\r\n")
	untilAnswered(s, "bad deadline", "mg k v O3 Pc=t,d=x\r\nmn\r\n", "MN\r\n")
	untilAnswered(s, "no time left", "mg k v O4 Pc=t,d=0\r\nmn\r\n", "MN\r\n")
	untilAnswered(s, "id of another request", "mg k v O4 Pc=t,d=0\r\nmg k v O4 Pc=t,d=0\r\nmn\r\n", "MN\r\n")
	s.onLoop(func() { s.SetDraining(true) })
	untilAnswered(s, "draining", "mn\r\n", "draining\r\n")
	untilClosed(s, "too many faults", "nonsense\r\nnonsense\r\nnonsense\r\nmn\r\n")
	full := startServer(t, testLimits{Limits{Connections: 0, RejectConnections: 1}, 1, 1 << 20})
	untilClosed(full, "beyond the limit", "mg k v O1 Pc=t\r\nmn\r\n")
	golden(t, "memcache-conversation", text.Bytes())
}
