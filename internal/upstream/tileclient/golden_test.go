package tileclient

import (
	"bytes"
	"flag"
	"os"
	"testing"

	"bendtrestle/internal/requestcore"
	"bendtrestle/internal/tiles"
)

var writeGolden = flag.Bool("write-golden", false, "rewrite the golden files")

const commandsGolden = "testdata/tile_commands.golden"

// TestTileCommandsGolden checks the exact bytes of the requests that are sent to tile servers.
func TestTileCommandsGolden(t *testing.T) {
	var written bytes.Buffer
	client := &Client{Scheme: tiles.XYZ, Host: "tiles.example", ProbePath: "/ready"}
	for _, c := range []struct {
		name        string
		request     *requestcore.Request
		secondsLeft float64
	}{
		{"probe", nil, 1},
		{"read", &requestcore.Request{Key: "roads/day/grid/1/0/0.png"}, 2},
		{"read, a part of a millisecond is rounded up", &requestcore.Request{Key: "roads/day/grid/1/0/1.png"}, 1.0001},
		{"read, no time is left", &requestcore.Request{Key: "roads//grid/3/2/1.png"}, -1},
		{"conditional read", &requestcore.Request{Key: "roads/day/grid/1/0/0.png", Flags: "If-None-Match: x\r\n"}, 0.5},
	} {
		written.WriteString("# " + c.name + "\n")
		for _, part := range client.NewCodec(nil).Encode(c.request, c.secondsLeft) {
			written.Write(part)
		}
		written.WriteString("\n")
	}
	if *writeGolden {
		if err := os.WriteFile(commandsGolden, written.Bytes(), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(commandsGolden)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(written.Bytes(), want) {
		t.Errorf("got requests %q, want %q", written.Bytes(), want)
	}
}
