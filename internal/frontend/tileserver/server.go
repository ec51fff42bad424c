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
	waitHeader string // in lower case; empty: none is used
}

// New returns a tile service. In the wait header a client states how many milliseconds it waits for the answer; if
// waitHeader is empty, no header is read for that.
func New(service *tiles.Service, class, waitHeader string) *Server {
	s := &Server{}
	s.Configure(service, class, waitHeader)
	return s
}

// Configure replaces the service's settings. Open requests are not affected.
func (s *Server) Configure(service *tiles.Service, class, waitHeader string) {
	s.service = service
	s.class = class
	s.waitHeader = strings.ToLower(waitHeader)
}

// Protocol returns the codec of a connection; it is a frontend.Protocol.
func (s *Server) Protocol(c *frontend.ClientConn) frontend.Codec {
	return &codec{server: s, conn: c}
}
