package admin

import "errors"

// Handler is what the server calls. The methods are called from any goroutine, several at once, and must return within
// a second. A nil error is answered with "done" or with the value; ErrUnknownServer and ErrUnknownZone with 404; any
// other error, ErrBusy among them, with 503. The texts of errors are answered as they are.
type Handler interface {
	// Ready reports whether the router accepts clients.
	Ready() bool
	// Metrics returns the figures, a line each.
	Metrics() []byte
	// DisableServer keeps requests from a cache server until EnableServer.
	DisableServer(id string) error
	EnableServer(id string) error
	// Drain sends clients away until Undrain.
	Drain() error
	Undrain() error
	// Status returns how far the start is.
	Status() (Status, error)
	// Zones returns all zones, in the order in which they are shown.
	Zones() ([]Zone, error)
	// EvacuateZone moves a zone's keys to other zones until RestoreZone.
	EvacuateZone(zone string) error
	RestoreZone(zone string) error
}

// Status is how far a start is. Its phase is that of package startup, from no known server up to full service, and not
// service.Phase, which is where the process stands between its start and its exit.
type Status struct {
	Phase              string  `json:"phase"`                // startup.Phase
	PhaseSeconds       float64 `json:"for_s"`                // since the phase began
	FullServiceSeconds float64 `json:"full_service_seconds"` // from the start to full service; 0: not reached yet
	WaitsFor           string  `json:"waits_for"`            // for what the phase waits, in words
	AcceptsClients     bool    `json:"taking_clients"`       // service.Phase is Serving, with no drain or successor
}

// Zone is what operators see of one zone.
type Zone struct {
	Zone                   string  `json:"zone"`
	State                  string  `json:"state"`
	Share                  float64 `json:"share"`                     // of its keys that it serves, 0 to 1
	StateSeconds           float64 `json:"for_s"`                     // since the state began
	ByOperator             bool    `json:"by_hand"`                   // evacuated by an operator
	Servers                int     `json:"servers"`                   // that the endpoint list names
	RoutersWithoutAnswer   int     `json:"routers_without_answer"`    // whose attempts there fail
	RoutersWithLaterAnswer int     `json:"routers_with_later_answer"` // who have had an answer since
	RoutersHeard           int     `json:"routers_heard"`
	RecentEvacuations      int     `json:"left_of_late"`
	Reason                 string  `json:"why"`
}

// Errors that a Handler returns where the server is to tell them apart.
var (
	ErrUnknownServer = errors.New("no cache server is known by this id")
	ErrUnknownZone   = errors.New("no zone is known by this name, or it is not left")
	// ErrBusy: the router has not come to the request in time, and will not.
	ErrBusy = errors.New("the router does not come to it now; nothing was done")
)
