package frontend

// CutReason says why a client's connection ended with an answer owed on it.
type CutReason int

// The reasons. The zero value holds unless the frontend notes another before it closes the connection itself;
// closeSlowestReader notes none, so its closes count as ClientDisconnected.
const (
	ClientDisconnected CutReason = iota // the client closed or reset the connection
	AnswerUnread                        // the client read nothing of its answer for too long
	BodyBroken                          // the rest of a value will not come
	cutReasonCount
)

// CutReasonNames names the reasons, by their numbers, as figures and logs show them.
var CutReasonNames = [cutReasonCount]string{"client_left", "unread", "value_cut"}

// CutConnections returns how many connections ended with an answer owed, by CutReason, since the start.
func (f *Frontend) CutConnections() [cutReasonCount]uint64 { return f.cutConnections }
