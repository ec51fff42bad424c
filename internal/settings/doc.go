// Package settings reads JSON objects field by field, including the balancer's settings. The router's configuration,
// the list service's responses and the simulator's lines are read with it. It maps the keys of the balancer's settings
// to the terms of the code ("trafficTypes" to traffic classes, "hardStop" to a deadline).
//
// Parse returns an Object. Each of its methods reads one field and returns the zero value if the field is absent or
// malformed. Faults are recorded at the outermost object, so that the caller can continue and report all of them
// together. An Object is used by one goroutine.
//
// Files:
//
//	object.go    Object
//	settings.go  the balancer's settings
//	lines.go     the line number of each key in a text
package settings
