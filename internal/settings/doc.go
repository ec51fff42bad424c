// Package settings reads JSON objects field by field, and the balancer's settings among them: for the real router's
// configuration, the list service's answers and the simulator's lines alike. It is the place where the keys of these
// files are mapped to the code's terms ("trafficTypes" to traffic classes, "hardStop" to a deadline).
//
// Parse returns an Object; its methods read a field each, return a zero value where the field is absent or malformed,
// and note the fault at the outermost object, so that a reader can go on and tell all faults at once. An Object is
// used by one goroutine.
//
// Files:
//
//	object.go    Object
//	settings.go  the balancer's settings
//	lines.go     the line of each key of a text
package settings
