package admin

import "errors"

// Handler handles the requests of the admin server. Its methods are called concurrently, from any goroutine, and must
// return within a second. A nil error is answered with "done" or with the value; ErrUnknownServer and ErrUnknownZone
// with status 404; any other error, such as ErrBusy, with status 503. The text of an error is sent to the client
// unchanged.
type Handler interface {
	// Ready reports whether the router accepts clients.
	Ready() bool
	// Metrics returns the metrics, one per line.
	Metrics() []byte
	// DisableServer stops requests to a cache server until EnableServer.
	DisableServer(id string) error
	EnableServer(id string) error
	// Drain makes the router close the connections of its clients, until Undrain.
	Drain() error
	Undrain() error
	// Status returns the progress of the router's start.
	Status() (Status, error)
	// Zones returns all zones, in the order in which they are displayed.
	Zones() ([]Zone, error)
	// EvacuateZone moves a zone's keys to other zones until RestoreZone.
	EvacuateZone(zone string) error
	RestoreZone(zone string) error
}

// Status is the progress of the router's start. Its phase is that of package startup, which goes from no known server
// to full service. It is not service.Phase, which is the state of the process between its start and its exit.
type Status struct {
	Phase              string  `json:"phase"`                // startup.Phase
	PhaseSeconds       float64 `json:"for_s"`                // seconds since the phase began
	FullServiceSeconds float64 `json:"full_service_seconds"` // seconds from the start to full service; 0: not reached yet
	WaitsFor           string  `json:"waits_for"`            // what the phase waits for, as text
	AcceptsClients     bool    `json:"taking_clients"`       // service.Phase is Serving, without a drain or a successor
}

// Zone is the state of one zone as it is shown to operators.
type Zone struct {
	Zone                   string  `json:"zone"`
	State                  string  `json:"state"`
	Share                  float64 `json:"share"`                     // fraction of its keys that the zone serves, 0 to 1
	StateSeconds           float64 `json:"for_s"`                     // seconds since the state began
	ByOperator             bool    `json:"by_hand"`                   // evacuated by an operator
	Servers                int     `json:"servers"`                   // servers of the zone in the endpoint list
	RoutersWithoutAnswer   int     `json:"routers_without_answer"`    // routers whose attempts there fail
	RoutersWithLaterAnswer int     `json:"routers_with_later_answer"` // routers that have had an answer there since
	RoutersHeard           int     `json:"routers_heard"`
	RecentEvacuations      int     `json:"left_of_late"`
	Reason                 string  `json:"why"`
}

// Errors that a Handler returns and the server distinguishes.
var (
	ErrUnknownServer = errors.New("no cache server is known by this id")
	ErrUnknownZone   = errors.New("no zone is known by this name, or it is not left")
	// ErrBusy means that the router did not start to handle the request in time, and will not.
	ErrBusy = errors.New("the router does not come to it now; nothing was done")
)
