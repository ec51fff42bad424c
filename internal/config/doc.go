// Package config reads, checks and completes the platform's configuration of a router: the JSON file that GW_CONFIG
// names, some variables beside it, and defaults. It owns no state; Read returns a Config, a value.
//
// Faults are reported all at once, a configerror.FieldError each, with the file and the line of the key. Keys keep the
// platform's words; the fields of Config, and balancer.Settings, have the code's.
//
// From the limits that the file states (memory, descriptors) follow the bounds of what a router holds at once:
// connections, open requests, bytes. They are split here, so that all parts together stay within what the process may
// have.
//
// Files:
//
//	config.go      Config and how it is read
//	deployment.go  which shape of a deployment the settings name, and what contradicts it
//	limits.go      the split of memory and descriptors
//	restart.go     which changes need a restart
//	describe.go    what `bendtrestle check` prints
package config
