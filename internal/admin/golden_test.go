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

var writeGolden = flag.Bool("write-golden", false, "rewrite testdata/*.golden with the output of the current code")

// golden compares a text with a golden file. The golden files were recorded with the build of commit 15122f5.
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
		t.Errorf("%s: got\n%s\nwant\n%s", name, got, want)
	}
}

// goldenHandler returns values with all fields set.
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

// sendRequest sends a request and returns the complete response, with its headers sorted and without the Date header.
func sendRequest(t *testing.T, addr, call, accept, body string) string {
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
	response, err := transport.RoundTrip(request)
	if err != nil {
		t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		t.Fatal(err)
	}
	var lines []string
	for name, values := range response.Header {
		if name != "Date" {
			lines = append(lines, name+": "+strings.Join(values, "; ")+"\n")
		}
	}
	slices.Sort(lines)
	return response.Proto + " " + response.Status + "\n" + strings.Join(lines, "") + "\n" + string(text) + "\n"
}

// Dashboards, scripts and operators rely on these responses: path, status, headers and body must not change.
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
		var responses strings.Builder
		send := func(call, accept, body string) {
			fmt.Fprintf(&responses, "=== %s accept %q body %q\n%s", call, accept, body, sendRequest(t, addr, call, accept, body))
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
				send(method+" "+path, "", "")
			}
		}
		send("GET /zones", "application/json", "")
		send("GET /zones", "text/html, application/json;q=0.9", "")
		for _, path := range []string{"/cache-servers/disable", "/cache-servers/enable", "/zones/leave", "/zones/return"} {
			send("POST "+path, "", " s-1\r\n")
		}
		send("POST /drain", "", "ignored")
		send("POST /zones/leave", "", "a b")
		send("POST /zones/leave", "", strings.Repeat("z", 256))
		send("POST /zones/leave", "", strings.Repeat("z", 257))
		send("POST /cache-servers/disable", "", "s\x00")
		send("POST /cache-servers/disable", "", "\xff")
		send("POST /cache-servers/enable", "", strings.Repeat("s", 1025))
		golden(t, "answers-"+c.name, responses.String())
		server.Close()
	}
}

// The texts of these errors are sent to operators in responses and must not change.
func TestGoldenErrors(t *testing.T) {
	golden(t, "errors", fmt.Sprintf("%v\n%v\n%v\n", ErrUnknownServer, ErrUnknownZone, ErrBusy))
}
