package upstream

// CloseReason is why a connection to a server ended while a reply, or the rest of a body, was still expected on it.
type CloseReason int

const (
	ServerClosed       CloseReason = iota // the server closed or reset the connection
	ReplyStalled                          // a reply had begun and no further bytes arrived
	UnexpectedReply                       // the bytes received are no reply to the pending request
	AttemptAbandoned                      // another attempt on the connection was abandoned, and no other reason applies
	ClientDisconnected                    // the client that a body was for disconnected, or was disconnected
	PrematureReply                        // a reply arrived before its command was written, or announced a close
	closeReasonCount
)

// CloseReasons are the names of the reasons in the metrics and in the log.
var CloseReasons = [closeReasonCount]string{
	ServerClosed:       "server_ended",
	ReplyStalled:       "silent",
	UnexpectedReply:    "out_of_order",
	AttemptAbandoned:   "given_up",
	ClientDisconnected: "client_gone",
	PrematureReply:     "unwhole",
}

// CloseCounts returns the number of connections that ended while a reply was expected, by reason, since the start.
func (p *ConnectionPools) CloseCounts() [closeReasonCount]uint64 { return p.closeCounts }
