// Package admin is the router's admin server: HTTP/1.1 for operators, their scripts and dashboards. It reports whether
// the router is ready, its metrics, its status and its zones. It accepts commands of operators: to disable and enable
// cache servers, to evacuate and restore zones, and to drain the router.
//
// The server makes no decisions. Each request becomes one call of the Handler, whose result becomes a status and a line
// of text. The server runs on goroutines of its own, one per connection. A connection carries one request, and the
// number of connections is limited, so that neither a busy event loop nor clients that never finish a request block
// other requests.
//
// Files:
//
//	handler.go   Handler, which the server calls, and its values and errors
//	routes.go    paths, statuses and texts
//	server.go    Start and Close; another process may hold the address at first
//	listener.go  the limit of connections, and which one is evicted
package admin
