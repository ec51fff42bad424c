package admin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"text/tabwriter"
	"unicode/utf8"
)

const (
	maxBodyBytes = 1 << 10 // a name with white space around it
	maxNameBytes = 256     // of the id of a server or the name of a zone

	plainText = "text/plain; charset=utf-8"
	jsonText  = "application/json"
)

// routes returns an HTTP handler that maps the paths of the admin server to the methods of h.
func routes(h Handler) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /ready", readyRoute(h))
	mux.HandleFunc("GET /metrics", metricsRoute(h))
	mux.HandleFunc("GET /status", statusRoute(h))
	mux.HandleFunc("GET /zones", zonesRoute(h))
	mux.HandleFunc("POST /cache-servers/disable", nameActionRoute("id of a cache server", h.DisableServer))
	mux.HandleFunc("POST /cache-servers/enable", nameActionRoute("id of a cache server", h.EnableServer))
	mux.HandleFunc("POST /zones/leave", nameActionRoute("name of a zone", h.EvacuateZone))
	mux.HandleFunc("POST /zones/return", nameActionRoute("name of a zone", h.RestoreZone))
	mux.HandleFunc("POST /drain", actionRoute(h.Drain))
	mux.HandleFunc("POST /undrain", actionRoute(h.Undrain))
	return mux
}

func readyRoute(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		markRequestRead(request)
		if !h.Ready() {
			writeText(w, http.StatusServiceUnavailable, "no: clients are not taken")
			return
		}
		writeText(w, http.StatusOK, "yes")
	}
}

func metricsRoute(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		markRequestRead(request)
		w.Header().Set("Content-Type", plainText)
		w.Write(h.Metrics())
	}
}

func statusRoute(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		markRequestRead(request)
		status, err := h.Status()
		if err != nil {
			writeResult(w, err)
			return
		}
		writeJSON(w, status)
	}
}

// zonesRoute returns all zones: as JSON to a client that accepts it, otherwise as a text table.
func zonesRoute(h Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		markRequestRead(request)
		zones, err := h.Zones()
		if err != nil {
			writeResult(w, err)
			return
		}
		if strings.Contains(request.Header.Get("Accept"), jsonText) {
			writeJSON(w, zones)
			return
		}
		w.Header().Set("Content-Type", plainText)
		writeZoneTable(w, zones)
	}
}

func writeZoneTable(w io.Writer, zones []Zone) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "ZONE\tSTATE\tSHARE\tFOR\tSERVERS\tWITHOUT ANSWER\tWITH LATER\tHEARD\tLEFT OF LATE\tWHY")
	for _, z := range zones {
		fmt.Fprintf(table, "%s\t%s\t%.3f\t%.1f s\t%d\t%d\t%d\t%d\t%d\t%s\n",
			z.Zone, z.State, z.Share, z.StateSeconds, z.Servers, z.RoutersWithoutAnswer, z.RoutersWithLaterAnswer,
			z.RoutersHeard, z.RecentEvacuations, z.Reason)
	}
	table.Flush()
}

// nameActionRoute returns an HTTP handler that runs an action on the name in the body of a request. subject is what the
// name identifies, for error texts.
func nameActionRoute(subject string, action func(name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, request.Body, maxBodyBytes))
		markRequestRead(request)
		name := strings.TrimSpace(string(body))
		switch {
		case err != nil || len(name) > maxNameBytes:
			writeText(w, http.StatusBadRequest, "the body is too long for the "+subject+", or did not come")
		case !validName(name):
			writeText(w, http.StatusBadRequest, "the body is to be the "+subject+", as the list has it")
		default:
			writeResult(w, action(name))
		}
	}
}

// validName reports whether a text can be a name in the endpoint list: one word of valid UTF-8 without control
// characters.
func validName(name string) bool {
	invalid := func(c rune) bool { return c <= ' ' || c == 0x7f || c == utf8.RuneError }
	return name != "" && !strings.ContainsFunc(name, invalid)
}

// actionRoute returns an HTTP handler that runs an action. It does not read the body of the request.
func actionRoute(action func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, request *http.Request) {
		markRequestRead(request)
		writeResult(w, action())
	}
}

// writeResult writes the result of an action.
func writeResult(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		writeText(w, http.StatusOK, "done")
	case errors.Is(err, ErrUnknownServer), errors.Is(err, ErrUnknownZone):
		writeText(w, http.StatusNotFound, err.Error())
	default:
		writeText(w, http.StatusServiceUnavailable, err.Error())
	}
}

func writeText(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", plainText)
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", jsonText)
	json.NewEncoder(w).Encode(value)
}
