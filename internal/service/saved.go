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
	State       int     `cbor:"Mode" json:"Mode"` // a balancer.EndpointState
	Capacity    float64 `cbor:"Capacity" json:"Capacity"`
	Zone        string  `cbor:"Zone" json:"Zone"`
	Cell        uint64  `cbor:"Cell" json:"Cell"`
	MachineType string  `cbor:"Kind" json:"Kind"`
	StartedAt   float64 `cbor:"Started" json:"Started"`
}

// savedEntry is a server with its address, as it is sent to the successor.
type savedEntry struct {
	savedEndpoint
	Addr netip.AddrPort `json:"Addr"`
}

// savedList is an endpoint list, as it is sent to the successor.
type savedList struct {
	Generation uint64       `json:"Generation"`
	Full       bool         `json:"Whole"`
	Entries    []savedEntry `json:"Entries"`
}

// restartState is the state of the platform's pool that is sent to the successor. The successor also polls the list
// service, but that may not answer at the time, and drains that this process knows of must not be lost.
type restartState struct {
	Discovery string    `json:"Discovery"` // the list service's address
	List      savedList `json:"List"`
}

// snapshotList is an endpoint list, as it is stored in the snapshot.
type snapshotList struct {
	Generation uint64           `cbor:"1,keyasint"` // the list service's
	Servers    []snapshotServer `cbor:"2,keyasint"`
}

// snapshotServer is a server of a snapshotList, with its address and port.
type snapshotServer struct {
	Endpoint savedEndpoint `cbor:"1,keyasint"`
	Addr     string        `cbor:"2,keyasint"`
}

// parseSnapshotList decodes a list of the snapshot. It returns an empty list if the format is that of another build;
// the snapshot itself has verified the checksum. It is unknown which of the servers have restarted since, so each of
// them is treated as started at now, in seconds.
func parseSnapshotList(body []byte, now float64) discovery.EndpointList {
	var saved snapshotList
	if cbor.Unmarshal(body, &saved) != nil {
		return discovery.EndpointList{}
	}
	list := discovery.EndpointList{Generation: saved.Generation, Full: true}
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

func saveEndpoint(e balancer.Endpoint) savedEndpoint {
	return savedEndpoint{
		ID:          e.ID,
		State:       int(e.State),
		Capacity:    e.Capacity,
		Zone:        e.Zone,
		Cell:        e.Cell,
		MachineType: e.MachineType,
		StartedAt:   e.StartedAt,
	}
}

func (e savedEndpoint) endpoint() balancer.Endpoint {
	return balancer.Endpoint{
		ID:          e.ID,
		State:       balancer.EndpointState(e.State),
		Capacity:    e.Capacity,
		Zone:        e.Zone,
		Cell:        e.Cell,
		MachineType: e.MachineType,
		StartedAt:   e.StartedAt,
	}
}

func saveEntry(entry discovery.Instance) savedEntry {
	return savedEntry{saveEndpoint(entry.Endpoint), entry.Addr}
}

func (saved savedList) list() discovery.EndpointList {
	list := discovery.EndpointList{Generation: saved.Generation, Full: saved.Full}
	for _, entry := range saved.Entries {
		list.Instances = append(list.Instances, discovery.Instance{Endpoint: entry.endpoint(), Addr: entry.Addr})
	}
	return list
}
