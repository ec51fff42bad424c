// Package admin is the router's admin server: HTTP/1.1 for operators, their scripts and dashboards. It answers whether
// the router is ready, its metrics, its status and its zones, and passes on what operators ask for: to disable and
// enable cache servers, to evacuate and restore zones, to drain the router.
//
// It decides nothing. Each request becomes one call of the Handler, whose result becomes a status and a line of text.
// The server runs on goroutines of its own, one a connection, so that neither a busy event loop nor callers that never
// finish a request keep others waiting: a connection carries one request, and their number is bounded.
//
// Files:
//
//	handler.go   what the server calls, and the values and errors that it gets
//	routes.go    paths, statuses, texts
//	server.go    Start and Close; the address may be held at first
//	listener.go  the bound of the connections, and which one gives way
package admin
