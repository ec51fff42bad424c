package frontend

// CutReason is the reason why a client's connection ended while an answer was pending on it.
type CutReason int

// The reasons. The zero value applies unless the frontend sets another one before it closes the connection itself;
// closeSlowestReader sets none, so its closes count as ClientDisconnected.
const (
	ClientDisconnected CutReason = iota // the client closed or reset the connection
	AnswerUnread                        // the client read nothing of its answer for too long
	BodyBroken                          // the body stream of a value ended before its length
	cutReasonCount
)

// CutReasonNames are the names of the reasons in metrics and logs, indexed by CutReason.
var CutReasonNames = [cutReasonCount]string{"client_left", "unread", "value_cut"}

// CutConnections returns how many connections ended while an answer was pending, indexed by CutReason, since the start.
func (f *Frontend) CutConnections() [cutReasonCount]uint64 { return f.cutConnections }
