package tileserver

import (
	"strings"

	"bendtrestle/internal/frontend"
	"bendtrestle/internal/tiles"
)

// Server is one tile service. It belongs to the loop's goroutine.
type Server struct {
	service    *tiles.Service
	class      string // the traffic class of its tiles
	waitHeader string // in lower case; empty: there is none
}

// New makes a tile service. The wait header is the one by which a client says how many milliseconds it waits; empty:
// there is none.
func New(service *tiles.Service, class, waitHeader string) *Server {
	s := &Server{}
	s.Configure(service, class, waitHeader)
	return s
}

// Configure takes another description. Requests that are open go on.
func (s *Server) Configure(service *tiles.Service, class, waitHeader string) {
	s.service = service
	s.class = class
	s.waitHeader = strings.ToLower(waitHeader)
}

// Protocol makes the codec of a connection; it is a frontend.Protocol.
func (s *Server) Protocol(c *frontend.ClientConn) frontend.Codec {
	return &codec{server: s, conn: c}
}
