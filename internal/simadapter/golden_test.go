package simadapter

import (
	"bytes"
	"flag"
	"os"
	"testing"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/session.golden anew, from the code as it is")

// The simulator reads the replies: a session with every event, setting and kind of endpoint list is answered to
// the byte as the build of 15122f5 answered it.
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
			t.Fatalf("line %d of the reply differs, want %s", i+1, line)
		}
	}
	if len(reply.Bytes()) != len(want) {
		t.Errorf("%d bytes, want %d", reply.Len(), len(want))
	}
}
