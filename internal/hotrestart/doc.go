// Package hotrestart lets one process of a router follow another without refusing a client: the successor gets the
// sockets that clients connect to, and the state that the predecessor knows, over a Unix socket in a folder that both
// can reach.
//
// The protocol, version 1, a connection for each successor, lines that end in a line feed:
//
//	successor:   bendtrestle 1 listens
//	predecessor: sockets ADDRESS...       with a descriptor for each address, in this order, in the same message
//	predecessor: state LENGTH             and so many bytes; left out where the state is too long
//	successor:   serving                  once it accepts clients; the predecessor then accepts no more
//
// The end of the connection tells either side that the other process has ended. A predecessor whose successor ends
// accepts clients again, unless another process has followed. A process of another build or another user is no
// predecessor: the new process then shares the address as if there were none.
//
// Takeover is called by the process that starts, Listen by one that serves. Both processes may be of different builds:
// the words above and the files' names never change.
//
// Files:
//
//	path.go         names of the files that a router's processes share
//	protocol.go     the words and bounds of the protocol, and who may speak it
//	predecessor.go  the successor's side
//	listener.go     the predecessor's side
package hotrestart
