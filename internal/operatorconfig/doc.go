// Package operatorconfig reads and checks the operators' own file, in TOML, with settings that the platform's
// configuration has no keys for. Without the file the platform's configuration and the defaults apply. The package has
// no state; Read returns a File, a value.
//
// The types are named after the file's tables and their fields after its keys, because the TOML library's errors about
// a value of the wrong type contain these names. This package maps the names to the terms of the code: File.Terms,
// Pool.Settings and the other methods return the parameters of the broker, the balancer and the tile front ends.
//
// All faults are reported together, each as a configerror.FieldError with the file and the line of the key. The order
// of the checks is the order in which faults are reported.
//
// Files:
//
//	file.go          File, defaults, Read, the changes that need a restart
//	features.go      optional features: recovery, gossip, slow start in large fleets
//	zones.go         zones and regions
//	pools.go         pools of servers
//	teams.go         contracts
//	trafficclass.go  traffic classes of a contract
//	tiles.go         tile services
//	tilescheck.go    checks of tile services
//	describe.go      the output of `bendtrestle check`
package operatorconfig
