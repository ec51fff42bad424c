package service

import (
	"net/netip"

	"bendtrestle/balancer"
	"bendtrestle/internal/discovery"
)

// savedMember is a server of the endpoint list as it is written to the snapshot on disk (CBOR) and told to the next process at a
// hot restart (JSON). Processes of other builds read both, so the names of its fields are fixed.
type savedMember struct {
	ID       uint64  `cbor:"ID" json:"ID"`
	Mode     int     `cbor:"Mode" json:"Mode"` // as numbered by logic.Mode
	Capacity float64 `cbor:"Capacity" json:"Capacity"`
	Zone     string  `cbor:"Zone" json:"Zone"`
	Cell     uint64  `cbor:"Cell" json:"Cell"`
	Kind     string  `cbor:"Kind" json:"Kind"`
	Started  float64 `cbor:"Started" json:"Started"`
}

// savedEntry is a server with its address, as a hot restart tells it.
type savedEntry struct {
	savedMember
	Addr netip.AddrPort `json:"Addr"`
}

// savedList is an endpoint list, as a hot restart tells it.
type savedList struct {
	Generation uint64       `json:"Generation"`
	Whole      bool         `json:"Whole"`
	Entries    []savedEntry `json:"Entries"`
}

func saveMember(m balancer.Endpoint) savedMember {
	return savedMember{
		ID:       m.ID,
		Mode:     int(m.State),
		Capacity: m.Capacity,
		Zone:     m.Zone,
		Cell:     m.Cell,
		Kind:     m.MachineType,
		Started:  m.StartedAt,
	}
}

func (m savedMember) member() balancer.Endpoint {
	return balancer.Endpoint{
		ID:          m.ID,
		State:       balancer.EndpointState(m.Mode),
		Capacity:    m.Capacity,
		Zone:        m.Zone,
		Cell:        m.Cell,
		MachineType: m.Kind,
		StartedAt:   m.Started,
	}
}

func saveEntry(entry discovery.Instance) savedEntry {
	return savedEntry{saveMember(entry.Endpoint), entry.Addr}
}

func (saved savedList) list() discovery.EndpointList {
	list := discovery.EndpointList{Generation: saved.Generation, Complete: saved.Whole}
	for _, entry := range saved.Entries {
		list.Instances = append(list.Instances, discovery.Instance{Endpoint: entry.member(), Addr: entry.Addr})
	}
	return list
}
