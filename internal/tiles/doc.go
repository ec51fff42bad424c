// Package tiles parses and formats the addresses of map tiles: XYZ paths, and WMTS 1.0.0 requests as key-value pairs
// and as RESTful paths. It also writes the WMTS capabilities document and exception reports.
//
// Service.Parse parses a request target and returns a Tile, a request for the capabilities document, or a Fault. A tile
// has the same key (Tile.Key) in all schemes. Scheme.Address returns the target for a tile server.
//
// A query holds at most maxQueryParameters parameters, and a number has at most maxNumberDigits digits. The length of
// the target itself is bounded by the caller.
//
// The package does no I/O and starts no goroutine. A Service does not change after New, so any goroutine may use it.
package tiles
