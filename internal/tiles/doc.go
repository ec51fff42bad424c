// Package tiles reads and writes the addresses of map tiles: XYZ paths, and WMTS 1.0.0 by key-value pairs and by
// RESTful paths. It also writes the WMTS capabilities document and exception reports.
//
// A request target goes into Service.Parse; a Tile, a request for the capabilities or a Fault comes out. The same tile
// has one key (Tile.Key), whichever scheme it is requested by. Scheme.Address writes the target for a tile server.
//
// A query holds at most maxQueryParameters parameters, and a number has at most maxNumberDigits digits. The length of
// the target itself is bounded by the caller.
//
// The package does no I/O and starts no goroutine. A Service is not changed after New: any goroutine may use it.
package tiles
