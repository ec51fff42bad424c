package upstream

// CloseReason is why a connection to a server ended while a reply, or the rest of a body, was owed on it.
type CloseReason int

const (
	ServerClosed       CloseReason = iota // the server closed or reset it
	ReplyStalled                          // a reply that had begun did not go on
	UnexpectedReply                       // what came was no reply to what was asked
	AttemptAbandoned                      // an attempt before the others was given up, and nothing else ends it
	ClientDisconnected                    // the client that a body was for has left, or was disconnected
	PrematureReply                        // a reply came before its command was written, or said that it is the last
	closeReasonCount
)

// CloseReasons are the names of the reasons in the admin server's figures and in the log.
var CloseReasons = [closeReasonCount]string{
	ServerClosed:       "server_ended",
	ReplyStalled:       "silent",
	UnexpectedReply:    "out_of_order",
	AttemptAbandoned:   "given_up",
	ClientDisconnected: "client_gone",
	PrematureReply:     "unwhole",
}

// CloseCounts counts the connections that ended with a reply owed, by the reason, since the start.
func (p *ConnectionPools) CloseCounts() [closeReasonCount]uint64 { return p.closeCounts }
