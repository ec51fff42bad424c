package admin

import (
	"context"
	"io"
	stdlog "log"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/rs/zerolog"
)

const (
	maxHeaderBytes      = 4 << 10
	requestTimeout      = 5 * time.Second // for reading a request, and for writing its response
	listenRetryInterval = 200 * time.Millisecond
)

// Server is a running admin server.
type Server struct {
	http           *http.Server
	addr           string
	maxConnections int
	log            zerolog.Logger
	closed         chan struct{}
	once           sync.Once // of Close
}

// Start listens at an address and serves at most maxConnections connections at a time by calls of the handler. If the
// address is in use, as during a hot restart, Start returns and the server retries in the background until it is free.
func Start(addr string, maxConnections int, handler Handler, log zerolog.Logger) *Server {
	s := &Server{addr: addr, maxConnections: maxConnections, log: log, closed: make(chan struct{})}
	s.http = &http.Server{
		Handler:        routes(handler),
		ReadTimeout:    requestTimeout,
		WriteTimeout:   requestTimeout,
		MaxHeaderBytes: maxHeaderBytes,
		ErrorLog:       stdlog.New(io.Discard, "", 0),
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connectionKey{}, conn)
		},
	}
	s.http.SetKeepAlivesEnabled(false)
	listener, err := net.Listen("tcp", addr)
	if err != nil {
		log.Warn().Err(err).Str("ops", addr).Msg("the admin server cannot listen; retrying until it can")
		go s.retryListen()
		return s
	}
	go s.serve(listener)
	return s
}

// retryListen retries to listen until it succeeds or the server is closed.
func (s *Server) retryListen() {
	for {
		select {
		case <-s.closed:
			return
		case <-time.After(listenRetryInterval):
		}
		listener, err := net.Listen("tcp", s.addr)
		if err == nil {
			s.log.Info().Str("ops", s.addr).Msg("the admin server listens")
			s.serve(listener)
			return
		}
	}
}

func (s *Server) serve(listener net.Listener) {
	select {
	case <-s.closed:
		listener.Close()
	default:
		s.http.Serve(&boundedListener{Listener: listener, maxConnections: s.maxConnections})
	}
}

// Close stops listening and closes all connections, including those whose request is being handled.
func (s *Server) Close() {
	s.once.Do(func() { close(s.closed) })
	s.http.Close()
}
