// Package config reads and checks the platform's configuration of a router: the JSON file that GW_CONFIG names, some
// environment variables, and defaults. It has no state; Read returns a Config, a value.
//
// All faults are reported together, each as a configerror.FieldError with the file and the line of the key. The keys of
// the file use the platform's terms; the fields of Config and of balancer.Settings use the terms of the code.
//
// The limits in the file (memory, descriptors) determine how many connections, open requests and bytes a router may
// hold at the same time. This package splits the limits between them, so that together they stay within what the
// process may use.
//
// Files:
//
//	config.go      Config, reading and checks
//	deployment.go  settings that select the kind of deployment, and contradictions between them
//	limits.go      the split of memory and descriptors
//	restart.go     the changes that need a restart
//	describe.go    the output of `bendtrestle check`
package config
