// Package hotrestart replaces a process of a router by another without refusing a client. The successor process gets
// the listening sockets and the state of the predecessor process over a Unix socket in a directory that both can
// access.
//
// The protocol, version 1, uses one connection for each successor, and lines that end with a line feed:
//
//	successor:   bendtrestle 1 listens
//	predecessor: sockets ADDRESS...       with a descriptor for each address, in this order, in the same message
//	predecessor: state LENGTH             followed by LENGTH bytes; omitted if the state is too long
//	successor:   serving                  when it accepts clients; the predecessor then stops accepting
//
// When the connection ends, the other process has ended. A predecessor whose successor has ended accepts clients again,
// unless another process has taken over meanwhile. A process with another protocol version or of another user is not
// used as a predecessor: the new process then shares the address as if there were no other process.
//
// Takeover is called by a process that starts, Listen by a process that serves. The two processes may be of different
// builds, so the words above and the names of the files must never change.
//
// Files:
//
//	path.go         names of the files that the processes of a router share
//	protocol.go     words, limits and errors of the protocol, and the check of the peer's user
//	predecessor.go  the successor's side
//	listener.go     the predecessor's side
package hotrestart
