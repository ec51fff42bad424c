package upstream

// Cut is why a connection to a server ended with something owed on it: an answer that somebody waits for, or the rest of a value.
type Cut int

const (
	ServerEnded Cut = iota // the server closed or reset it
	Silent                 // a reply that had begun did not go on
	OutOfOrder             // what came was no reply to what was asked
	GivenUp                // an attempt before the others was given up, and nothing else ends it
	ClientGone             // a value's client left, or was let go of
	Unwhole                // a reply came before its command was written, or said that it is the last
	cuts
)

// Cuts names them, for the door and the log.
var Cuts = [cuts]string{"server_ended", "silent", "out_of_order", "given_up", "client_gone", "unwhole"}

// Cut counts the connections that ended with something owed, by the reason, since the start.
func (f *Fleet) Cut() [cuts]uint64 { return f.cut }

// owes tells whether somebody waits for an answer on the connection, or for the rest of a value.
func (l *link) owes() bool {
	return l.carries(nil) || l.passage != nil && l.passage.wanted()
}
