package service

import (
	"encoding/hex"
	"encoding/json"
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"reflect"
	"strings"
	"testing"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"

	"github.com/fxamacker/cbor/v2"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden from the current code")

// golden compares bytes with a golden file, first written by the build of 15122f5, and returns the file's content.
func golden(t *testing.T, name string, got []byte) []byte {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, append(got, '\n'), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	text, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	want := strings.TrimSuffix(string(text), "\n")
	if string(got) != want {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
	return []byte(want)
}

func goldenEntries() []discovery.Instance {
	return []discovery.Instance{
		{
			Endpoint: balancer.Endpoint{
				ID:          1,
				State:       balancer.Ready,
				Capacity:    1.5,
				Zone:        "a",
				Cell:        3,
				MachineType: "m2",
				StartedAt:   1700000000.25,
			},
			Addr: netip.MustParseAddrPort("127.0.0.9:11211"),
		},
		{
			Endpoint: balancer.Endpoint{ID: 4294967295, State: balancer.Draining, Zone: "b"},
			Addr:     netip.MustParseAddrPort("[::1]:7"),
		},
		{Endpoint: balancer.Endpoint{ID: 7, State: balancer.Removed}},
	}
}

// At a hot restart the successor may be of another build, newer or older: the encoded state must stay the same, and
// must be decoded completely.
func TestGoldenHotRestartState(t *testing.T) {
	sent := restartState{Discovery: "127.2.0.1:8500", List: savedList{Generation: 41, Full: true}}
	for _, entry := range goldenEntries() {
		sent.List.Entries = append(sent.List.Entries, saveEntry(entry))
	}
	text, err := json.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	want := golden(t, "hotrestart-state", text)
	var read restartState
	if err := json.Unmarshal(want, &read); err != nil || !reflect.DeepEqual(read, sent) {
		t.Errorf("decoded: got %+v, %v, want %+v", read, err, sent)
	}
	list := read.List.list()
	if list.Generation != 41 || !list.Full || !reflect.DeepEqual(list.Instances, goldenEntries()) {
		t.Errorf("converted: got %+v, want the entries that were encoded", list)
	}
}

// The list in a snapshot may have been written by another build: the encoding must stay the same, and must be decoded
// completely.
func TestGoldenSavedList(t *testing.T) {
	sent := snapshotList{Generation: 41}
	for _, e := range goldenEntries() {
		sent.Servers = append(sent.Servers, snapshotServer{saveEndpoint(e.Endpoint), e.Addr.String()})
	}
	body, err := cbor.Marshal(sent)
	if err != nil {
		t.Fatal(err)
	}
	want := golden(t, "saved-list", []byte(hex.EncodeToString(body)))
	bytes, err := hex.DecodeString(string(want))
	if err != nil {
		t.Fatal(err)
	}
	var read snapshotList
	if err := cbor.Unmarshal(bytes, &read); err != nil || !reflect.DeepEqual(read, sent) {
		t.Errorf("decoded: got %+v, %v, want %+v", read, err, sent)
	}
}
