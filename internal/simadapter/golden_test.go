package simadapter

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/session.golden from the current output")

// The simulator parses the replies. For a session with every event, setting and kind of endpoint list, they are
// byte for byte those of the build of commit 15122f5.
func TestGoldenSession(t *testing.T) {
	input, err := os.Open("testdata/session.jsonl")
	if err != nil {
		t.Fatal(err)
	}
	defer input.Close()
	var reply bytes.Buffer
	if err := Serve(input, &reply); err != nil {
		t.Fatal(err)
	}
	const path = "testdata/session.golden"
	if *writeGolden {
		if err := os.WriteFile(path, reply.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	got := bytes.Split(reply.Bytes(), []byte("\n"))
	for i, line := range bytes.Split(want, []byte("\n")) {
		if i >= len(got) || !bytes.Equal(got[i], line) {
			t.Fatalf("line %d of the reply differs from the golden file, want %s", i+1, line)
		}
	}
	if len(reply.Bytes()) != len(want) {
		t.Errorf("got a reply of %d bytes, want %d", reply.Len(), len(want))
	}
}
