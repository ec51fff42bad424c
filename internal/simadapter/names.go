package simadapter

import "bendtrestle/balancer"

// Names of the simulator's events.
const (
	eventBatchStart         = "CLOCK"            // begins a batch
	eventBatchEnd           = "YOUR_TURN"        // ends a batch
	eventEndpointList       = "SHEET"            // an endpoint list
	eventRouterStart        = "ENLIST"           // balancer.New
	eventRouterKill         = "KILL"             // the process of a router ends
	eventListUpdate         = "DIRECTORY_UPDATE" // OnEndpoints
	eventRequest            = "ACCEPT"           // OnRequest
	eventStreamStart        = "HEAD_RECEIVED"    // OnStreamStart
	eventAttemptEnd         = "SETTLED"          // OnAttemptEnd
	eventClientDisconnected = "GONE"             // OnClientDisconnected
	eventTimer              = "WAKE"             // OnTimer
	eventProbeResult        = "PROBE_RESULT"     // OnProbeResult
	eventGossip             = "MESSAGE"          // OnGossip
)

// Names of the actions and of the other lines in the reply.
const (
	actionStartAttempt   = "CALL_OUT"
	actionCancelAttempt  = "WITHDRAW"
	actionReject         = "BOUNCE"
	actionFail           = "RESPOND_ERROR"
	actionGossip         = "SIGNAL"
	actionProbe          = "SAMPLE"
	actionSetTimer       = "SET_TIMER"
	actionWatchEndpoints = "WATCH"

	replyBatchDone = "OK"
	replyPanic     = "FATAL"
)

// requiresRouter holds the events in which the field "router" is required. Other events are ignored without it.
var requiresRouter = map[string]bool{
	eventRouterStart:        true,
	eventRouterKill:         true,
	eventListUpdate:         true,
	eventRequest:            true,
	eventStreamStart:        true,
	eventAttemptEnd:         true,
	eventClientDisconnected: true,
	eventTimer:              true,
	eventProbeResult:        true,
	eventGossip:             true,
}

// outcomes maps the outcomes of attempts and probes. Any other name means balancer.OutcomeUnknown.
var outcomes = map[string]balancer.Outcome{
	"served":          balancer.Succeeded,
	"server_error":    balancer.ServerError,
	"turned_away":     balancer.Overloaded,
	"no_answer":       balancer.TimedOut,
	"no_connection":   balancer.ConnectFailed,
	"connection_lost": balancer.ConnectionLost,
	"called_off":      balancer.Cancelled,
	"not_sent":        balancer.NotAttempted,
	"not_stored":      balancer.CacheMiss,
}

// endpointStates maps the states of servers in an endpoint list. Any other name means balancer.Removed.
var endpointStates = map[string]balancer.EndpointState{
	"in_service":  balancer.Ready,
	"terminating": balancer.Draining,
}

// endpointUpdates maps the kinds of list update. Any other name is an error.
var endpointUpdates = map[string]balancer.EndpointUpdate{
	"diff":     balancer.UpdateDelta,
	"snapshot": balancer.UpdateFull,
	"disk":     balancer.UpdateSaved,
	"error":    balancer.UpdateFailed,
}
