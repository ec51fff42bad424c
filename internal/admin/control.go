// Package admin is the operators' door: HTTP/1.1, one call to a connection, on goroutines of its own, so that a busy loop and
// callers that never finish a call keep nobody waiting.
package admin

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"text/tabwriter"
	"time"

	"github.com/rs/zerolog"
)

const (
	headBound = 4 << 10
	whole     = 5 * time.Second // for a call to come whole, and for its answer to be read
	bodyBound = 1 << 10         // an id
	longID    = 256
	again     = 200 * time.Millisecond // between two tries to open the door
)

// Handler is what the door needs. Its methods may be called from any goroutine, and return within a second.
type Handler interface {
	Ready() bool
	Metrics() []byte
	DisableServer(id string) error
	EnableServer(id string) error
	Drain() error
	Undrain() error
	Status() (Status, error)
	Zones() ([]Zone, error)
	EvacuateZone(zone string) error
	RestoreZone(zone string) error
}

// Status is how far a start is.
type Status struct {
	Phase              string  `json:"phase"`
	PhaseSeconds       float64 `json:"for_s"`
	FullServiceSeconds float64 `json:"full_service_seconds"` // that it took; 0: it is not there yet
	WaitsFor           string  `json:"waits_for"`
	AcceptsClients     bool    `json:"taking_clients"`
}

// Zone is what the door shows of one zone.
type Zone struct {
	Zone                   string  `json:"zone"`
	State                  string  `json:"state"`
	Share                  float64 `json:"share"`   // of its keys that it serves
	StateSeconds           float64 `json:"for_s"`   // seconds in this state
	ByOperator             bool    `json:"by_hand"` // left by hand
	Servers                int     `json:"servers"`
	RoutersWithoutAnswer   int     `json:"routers_without_answer"`
	RoutersWithLaterAnswer int     `json:"routers_with_later_answer"`
	RoutersHeard           int     `json:"routers_heard"`
	RecentEvacuations      int     `json:"left_of_late"`
	Reason                 string  `json:"why"`
}

// Why a call is not carried out.
var (
	ErrUnknownServer = errors.New("no cache server is known by this id")
	ErrUnknownZone   = errors.New("no zone is known by this name, or it is not left")
	ErrBusy          = errors.New("the router does not come to it now; nothing was done")
)

// Server is one open door.
type Server struct {
	server *http.Server
	addr   string
	places int
	log    zerolog.Logger
	ended  chan struct{}
	once   sync.Once
}

// Start listens at an address, for so many callers at once. Where another process holds it, as while one version follows another, it is tried until it is free.
func Start(addr string, places int, r Handler, log zerolog.Logger) *Server {
	d := &Server{addr: addr, places: places, log: log, ended: make(chan struct{})}
	d.server = &http.Server{Handler: handler(r), ReadTimeout: whole, WriteTimeout: whole, MaxHeaderBytes: headBound,
		ErrorLog:    stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, c net.Conn) context.Context { return context.WithValue(ctx, callerKey{}, c) }}
	d.server.SetKeepAlivesEnabled(false)
	ln, err := net.Listen("tcp", addr)
	if err == nil {
		go d.serve(ln)
		return d
	}
	log.Warn().Err(err).Str("ops", addr).Msg("the operators' door cannot be opened yet; it is tried again")
	go func() {
		for ; err != nil; ln, err = net.Listen("tcp", addr) {
			select {
			case <-d.ended:
				return
			case <-time.After(again):
			}
		}
		log.Info().Str("ops", addr).Msg("the operators' door is open")
		d.serve(ln)
	}()
	return d
}

func (d *Server) serve(ln net.Listener) {
	select {
	case <-d.ended:
		ln.Close()
	default:
		d.server.Serve(&gate{Listener: ln, places: d.places})
	}
}

// Close ends the door and its callers' connections.
func (d *Server) Close() {
	d.once.Do(func() { close(d.ended) })
	d.server.Close()
}

// gate bounds the callers.
type gate struct {
	net.Listener
	places  int
	mu      sync.Mutex
	callers []*caller // by the time they came
}

type callerKey struct{}

// caller is one connection.
type caller struct {
	net.Conn
	g     *gate
	whole atomic.Bool // its call has come
	over  atomic.Bool // and its answer has left
}

// Accept takes a connection. With all places taken one that was answered makes room, else the one that
// has said no whole call for longest.
func (g *gate) Accept() (net.Conn, error) {
	for {
		conn, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &caller{Conn: conn, g: g}
		if g.admit(c) {
			return c, nil
		}
		conn.Close()
	}
}

func (g *gate) admit(c *caller) bool {
	g.mu.Lock()
	var oldest *caller
	full := len(g.callers) >= g.places
	for _, other := range g.callers {
		if over := other.over.Load(); full && (over || oldest == nil && !other.whole.Load()) {
			if oldest = other; over { // the server keeps it for half a second, lest a reset cut its answer
				break
			}
		}
	}
	room := oldest != nil || len(g.callers) < 2*g.places // those being answered are so within a second
	if room {
		g.callers = append(g.callers, c)
	}
	g.mu.Unlock()
	if oldest != nil {
		oldest.Close()
	}
	return room
}

// CloseWrite is called by the server once an answer has left.
func (c *caller) CloseWrite() error {
	c.over.Store(true)
	if conn, ok := c.Conn.(*net.TCPConn); ok {
		return conn.CloseWrite()
	}
	return nil
}

// Close gives the place back.
func (c *caller) Close() error {
	c.g.mu.Lock()
	for i, other := range c.g.callers {
		if other == c {
			c.g.callers = append(c.g.callers[:i], c.g.callers[i+1:]...)
			break
		}
	}
	c.g.mu.Unlock()
	return c.Conn.Close()
}

// came notes that a call is whole.
func came(r *http.Request) {
	if c, ok := r.Context().Value(callerKey{}).(*caller); ok {
		c.whole.Store(true)
	}
}

func handler(r Handler) http.Handler {
	m := http.NewServeMux()
	m.HandleFunc("GET /ready", func(w http.ResponseWriter, q *http.Request) {
		came(q)
		if !r.Ready() {
			say(w, http.StatusServiceUnavailable, "no: clients are not taken")
			return
		}
		say(w, http.StatusOK, "yes")
	})
	m.HandleFunc("GET /metrics", func(w http.ResponseWriter, q *http.Request) {
		came(q)
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		w.Write(r.Metrics())
	})
	m.HandleFunc("POST /cache-servers/disable", about("id of a cache server", r.DisableServer))
	m.HandleFunc("POST /cache-servers/enable", about("id of a cache server", r.EnableServer))
	m.HandleFunc("GET /zones", zones(r))
	m.HandleFunc("GET /status", func(w http.ResponseWriter, q *http.Request) {
		came(q)
		st, err := r.Status()
		if err != nil {
			answer(w, err)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		json.NewEncoder(w).Encode(st)
	})
	m.HandleFunc("POST /zones/leave", about("name of a zone", r.EvacuateZone))
	m.HandleFunc("POST /zones/return", about("name of a zone", r.RestoreZone))
	m.HandleFunc("POST /drain", plain(r.Drain))
	m.HandleFunc("POST /undrain", plain(r.Undrain))
	return m
}

// zones shows all zones: a table for people, or JSON to who asks for it.
func zones(r Handler) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		came(q)
		all, err := r.Zones()
		if err != nil {
			answer(w, err)
			return
		}
		if strings.Contains(q.Header.Get("Accept"), "application/json") {
			w.Header().Set("Content-Type", "application/json")
			json.NewEncoder(w).Encode(all)
			return
		}
		w.Header().Set("Content-Type", "text/plain; charset=utf-8")
		t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(t, "ZONE\tSTATE\tSHARE\tFOR\tSERVERS\tWITHOUT ANSWER\tWITH LATER\tHEARD\tLEFT OF LATE\tWHY")
		for _, z := range all {
			fmt.Fprintf(t, "%s\t%s\t%.3f\t%.1f s\t%d\t%d\t%d\t%d\t%d\t%s\n", z.Zone, z.State, z.Share, z.StateSeconds, z.Servers, z.RoutersWithoutAnswer, z.RoutersWithLaterAnswer,
				z.RoutersHeard, z.RecentEvacuations, z.Reason)
		}
		t.Flush()
	}
}

// about serves a call whose body names something.
func about(what string, act func(name string) error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		body, err := io.ReadAll(http.MaxBytesReader(w, q.Body, bodyBound))
		came(q)
		id := strings.TrimSpace(string(body))
		switch {
		case err != nil || len(id) > longID:
			say(w, http.StatusBadRequest, "the body is too long for the "+what+", or did not come")
		case id == "" || strings.ContainsFunc(id, func(c rune) bool { return c <= ' ' || c == 0x7f || c == 0xfffd }):
			say(w, http.StatusBadRequest, "the body is to be the "+what+", as the list has it")
		default:
			answer(w, act(id))
		}
	}
}

// plain serves a call without a body; one that comes is not looked at.
func plain(act func() error) http.HandlerFunc {
	return func(w http.ResponseWriter, q *http.Request) {
		came(q)
		answer(w, act())
	}
}

func answer(w http.ResponseWriter, err error) {
	switch {
	case err == nil:
		say(w, http.StatusOK, "done")
	case errors.Is(err, ErrUnknownServer), errors.Is(err, ErrUnknownZone):
		say(w, http.StatusNotFound, err.Error())
	default:
		say(w, http.StatusServiceUnavailable, err.Error())
	}
}

func say(w http.ResponseWriter, status int, text string) {
	w.Header().Set("Content-Type", "text/plain; charset=utf-8")
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}
