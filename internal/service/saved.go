package service

import (
	"net/netip"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"

	"github.com/fxamacker/cbor/v2"
)

// savedEndpoint is a server of the endpoint list as it is written to the snapshot on disk (CBOR) and sent to the
// successor at a hot restart (JSON). Processes of other builds read both, so the names of its fields are fixed.
type savedEndpoint struct {
	ID          uint64  `cbor:"ID" json:"ID"`
	State       int     `cbor:"Mode" json:"Mode"` // as numbered by balancer.EndpointState
	Capacity    float64 `cbor:"Capacity" json:"Capacity"`
	Zone        string  `cbor:"Zone" json:"Zone"`
	Cell        uint64  `cbor:"Cell" json:"Cell"`
	MachineType string  `cbor:"Kind" json:"Kind"`
	StartedAt   float64 `cbor:"Started" json:"Started"`
}

// savedEntry is a server with its address, as the successor receives it.
type savedEntry struct {
	savedEndpoint
	Addr netip.AddrPort `json:"Addr"`
}

// savedList is an endpoint list, as the successor receives it.
type savedList struct {
	Generation uint64       `json:"Generation"`
	Complete   bool         `json:"Whole"`
	Entries    []savedEntry `json:"Entries"`
}

// restartState is what the successor receives of the platform's pool, beside what the list service sends it: that
// may be silent just now, and a drain that this process knows of must not be forgotten.
type restartState struct {
	Discovery string    `json:"Discovery"` // the list service's address
	List      savedList `json:"List"`
}

// snapshotList is an endpoint list as the snapshot has it.
type snapshotList struct {
	Generation uint64           `cbor:"1,keyasint"` // of the list service
	Servers    []snapshotServer `cbor:"2,keyasint"`
}

// snapshotServer is a server of a snapshotList, with its address and port.
type snapshotServer struct {
	Endpoint savedEndpoint `cbor:"1,keyasint"`
	Addr     string        `cbor:"2,keyasint"`
}

// parseSnapshotList reads a list of the snapshot; an empty one if another build wrote it in another form, for the
// snapshot has checked its checksum. Which of its servers have restarted since is unknown, so each counts as one
// that did so now, in seconds.
func parseSnapshotList(body []byte, now float64) discovery.EndpointList {
	var saved snapshotList
	if cbor.Unmarshal(body, &saved) != nil {
		return discovery.EndpointList{}
	}
	list := discovery.EndpointList{Generation: saved.Generation, Complete: true}
	for _, server := range saved.Servers {
		address, err := netip.ParseAddrPort(server.Addr)
		if err != nil {
			continue
		}
		server.Endpoint.StartedAt = now
		list.Instances = append(list.Instances, discovery.Instance{Endpoint: server.Endpoint.endpoint(), Addr: address})
	}
	return list
}

func saveEndpoint(m balancer.Endpoint) savedEndpoint {
	return savedEndpoint{
		ID:          m.ID,
		State:       int(m.State),
		Capacity:    m.Capacity,
		Zone:        m.Zone,
		Cell:        m.Cell,
		MachineType: m.MachineType,
		StartedAt:   m.StartedAt,
	}
}

func (m savedEndpoint) endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		ID:          m.ID,
		State:       balancer.EndpointState(m.State),
		Capacity:    m.Capacity,
		Zone:        m.Zone,
		Cell:        m.Cell,
		MachineType: m.MachineType,
		StartedAt:   m.StartedAt,
	}
}

func saveEntry(entry discovery.Instance) savedEntry {
	return savedEntry{saveEndpoint(entry.Endpoint), entry.Addr}
}

func (saved savedList) list() discovery.EndpointList {
	list := discovery.EndpointList{Generation: saved.Generation, Complete: saved.Complete}
	for _, entry := range saved.Entries {
		list.Instances = append(list.Instances, discovery.Instance{Endpoint: entry.endpoint(), Addr: entry.Addr})
	}
	return list
}
