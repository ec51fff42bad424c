// Package operatorconfig reads and checks the operators' own file, in TOML: what the platform's configuration has no
// word for. Without the file everything is as the platform says. It owns no state; Read returns a File, a value.
//
// The types are named after the file's tables and their fields after its keys, because messages about a value of a
// wrong type name them. This package is the place where those words are mapped to the code's terms: File.Terms,
// Pool.Settings and the other methods return what the broker, the balancer and the tile front ends take.
//
// Faults are reported all at once, a configerror.FieldError each, with the file and the line of the key. The order of
// the checks is that in which people read the faults.
//
// Files:
//
//	file.go          File, defaults, Read, which changes need a restart
//	features.go      what is switched on: recovery, gossip, slow start among many routers
//	zones.go         zones and regions
//	pools.go         pools of servers
//	teams.go         contracts
//	trafficclass.go  traffic classes of a contract
//	tiles.go         tile services
//	tilescheck.go    their checks
//	describe.go      what `bendtrestle check` prints
package operatorconfig
