package admin

import (
	"flag"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
)

var writeGolden = flag.Bool("write-golden", false, "write testdata/*.golden anew, from the code as it is")

// golden compares a text with a file that the build of 15122f5 wrote.
func golden(t *testing.T, name, got string) {
	t.Helper()
	path := filepath.Join("testdata", name+".golden")
	if *writeGolden {
		if err := os.WriteFile(path, []byte(got), 0o644); err != nil {
			t.Fatal(err)
		}
	}
	want, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if got != string(want) {
		t.Errorf("%s:\n got %s\nwant %s", name, got, want)
	}
}

// goldenHandler answers with values in every field.
type goldenHandler struct{ fixedHandler }

func (goldenHandler) Metrics() []byte { return []byte("gw.current=1\ngw.sends=22\n") }

func (h goldenHandler) Zones() ([]Zone, error) {
	return []Zone{
		{Zone: "a", State: "left", Share: 0.25, StateSeconds: 12.5, ByOperator: true, Servers: 3, RoutersWithoutAnswer: 4,
			RoutersWithLaterAnswer: 5, RoutersHeard: 6, RecentEvacuations: 7, Reason: "by hand"},
		{Zone: "zone-b", State: "serving", Share: 1, StateSeconds: 0.04, Servers: 12, Reason: "<answers> & all"},
	}, h.err
}

func (h goldenHandler) Status() (Status, error) {
	status := Status{Phase: "full", PhaseSeconds: 1.25, FullServiceSeconds: 2.5, WaitsFor: "nothing <yet>",
		AcceptsClients: true}
	return status, h.err
}

// answered makes a call and gives the whole answer, with its headers in order and without its date.
func answered(t *testing.T, addr, call, accept, body string) string {
	t.Helper()
	method, path, _ := strings.Cut(call, " ")
	request, err := http.NewRequest(method, "http://"+addr+path, strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if accept != "" {
		request.Header.Set("Accept", accept)
	}
	transport := &http.Transport{DisableKeepAlives: true}
	answer, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer answer.Body.Close()
	text, err := io.ReadAll(answer.Body)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for name, values := range answer.Header {
		if name != "Date" {
			lines = append(lines, name+": "+strings.Join(values, "; ")+"\n")
		}
	}
	slices.Sort(lines)
	return answer.Proto + " " + answer.Status + "\n" + strings.Join(lines, "") + "\n" + string(text) + "\n"
}

// Dashboards, scripts and people read these answers: path, status, headers and body stay as they were.
func TestGoldenAnswers(t *testing.T) {
	paths := []string{"/ready", "/metrics", "/cache-servers/disable", "/cache-servers/enable", "/zones", "/status",
		"/zones/leave", "/zones/return", "/drain", "/undrain", "/", "/other", "/zones/", "/ready/"}
	methods := []string{"GET", "HEAD", "POST", "PUT", "DELETE"}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	addr := listener.Addr().String()
	listener.Close()
	for _, c := range []struct {
		name string
		err  error
	}{
		{"done", nil},
		{"unknown", ErrUnknownServer},
		{"no-zone", ErrUnknownZone},
		{"not-now", ErrBusy},
		{"other-error", fmt.Errorf("some reason: %w", io.EOF)},
	} {
		server := Start(addr, 24, goldenHandler{fixedHandler{c.err}}, zerolog.Nop())
		var all strings.Builder
		ask := func(call, accept, body string) {
			fmt.Fprintf(&all, "=== %s accept %q body %q\n%s", call, accept, body, answered(t, addr, call, accept, body))
		}
		for i := 0; i < 100; i++ {
			if conn, err := net.Dial("tcp", addr); err == nil {
				conn.Close()
				break
			}
			time.Sleep(10 * time.Millisecond)
		}
		for _, path := range paths {
			for _, method := range methods {
				if c.err != nil && method != "GET" && method != "POST" {
					continue
				}
				ask(method+" "+path, "", "")
			}
		}
		ask("GET /zones", "application/json", "")
		ask("GET /zones", "text/html, application/json;q=0.9", "")
		for _, path := range []string{"/cache-servers/disable", "/cache-servers/enable", "/zones/leave", "/zones/return"} {
			ask("POST "+path, "", " s-1\r\n")
		}
		ask("POST /drain", "", "ignored")
		ask("POST /zones/leave", "", "a b")
		ask("POST /zones/leave", "", strings.Repeat("z", 256))
		ask("POST /zones/leave", "", strings.Repeat("z", 257))
		ask("POST /cache-servers/disable", "", "s\x00")
		ask("POST /cache-servers/disable", "", "\xff")
		ask("POST /cache-servers/enable", "", strings.Repeat("s", 1025))
		golden(t, "answers-"+c.name, all.String())
		server.Close()
	}
}

// Errors that reach the operator through an answer.
func TestGoldenErrors(t *testing.T) {
	golden(t, "errors", fmt.Sprintf("%v\n%v\n%v\n", ErrUnknownServer, ErrUnknownZone, ErrBusy))
}
