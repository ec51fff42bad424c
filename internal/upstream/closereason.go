package upstream

// CloseReason is why a connection to a server ended with something owed on it: an answer that somebody waits for, or the rest of a value.
type CloseReason int

const (
	ServerClosed       CloseReason = iota // the server closed or reset it
	ReplyStalled                          // a reply that had begun did not go on
	UnexpectedReply                       // what came was no reply to what was asked
	AttemptAbandoned                      // an attempt before the others was given up, and nothing else ends it
	ClientDisconnected                    // a value's client left, or was let go of
	PrematureReply                        // a reply came before its command was written, or said that it is the last
	closeReasonCount
)

// CloseReasons names them, for the door and the log.
var CloseReasons = [closeReasonCount]string{"server_ended", "silent", "out_of_order", "given_up", "client_gone", "unwhole"}

// CloseCounts counts the connections that ended with something owed, by the reason, since the start.
func (f *ConnectionPools) CloseCounts() [closeReasonCount]uint64 { return f.closeCounts }

// owesReply tells whether somebody waits for an answer on the connection, or for the rest of a value.
func (l *connection) owesReply() bool {
	return l.awaitedBesides(nil) || l.body != nil && l.body.awaited()
}
