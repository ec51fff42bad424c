package discovery

import (
	"net/netip"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// The names of a list's fields on the wire.
const (
	fieldGeneration  = "generation"
	fieldFull        = "reset"
	fieldInstances   = "instances"
	fieldName        = "instanceId"
	fieldAddress     = "hostPort"
	fieldState       = "lifecycle"
	fieldCapacity    = "weight"
	fieldZone        = "zone"
	fieldCell        = "cell"
	fieldMachineType = "machineType"
	fieldStarted     = "startedAtMs"
)

// instancesPath begins the path of a fault in an instance.
const instancesPath = "/" + fieldInstances

const millisecondsPerSecond = 1e3

// states are the states of instances on the wire. One of no known name is as one that is gone.
var states = map[string]balancer.EndpointState{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
}

// Parse reads a list that a list service sent, in JSON. What is wrong with an instance costs that server alone: it
// gets nothing new, and the rest of the list, with the drains that it tells, still counts. A list without any
// instance that can be used is an error.
func Parse(text []byte) (EndpointList, error) {
	object, err := settings.Parse(text, "malformed list")
	if err != nil {
		return EndpointList{}, err
	}
	list := FromObject(object)
	faults := object.Faults()
	if list.Complete && object.Absent(fieldInstances) {
		object.Fault(fieldInstances, "missing")
	}
	faulty := list.drainFaulty()
	if len(faults) > 0 && faulty < len(list.Instances) && allInInstances(faults) {
		list.FirstFault = faults[0].Message()
		return list, nil
	}
	return list, object.Err()
}

// allInInstances reports whether nothing is wrong with the list itself.
func allInInstances(faults []settings.Fault) bool {
	return !slices.ContainsFunc(faults, func(fault settings.Fault) bool {
		return !strings.HasPrefix(fault.Path, instancesPath)
	})
}

// FromObject reads a list from an object, which keeps the faults.
func FromObject(object *settings.Object) EndpointList {
	list := EndpointList{Generation: object.ID(fieldGeneration), Complete: object.Flag(fieldFull)}
	for _, member := range object.List(fieldInstances) {
		instance, name := instanceFromObject(object, member)
		if name != "" {
			list.Instances = append(list.Instances, instance)
		}
	}
	return list
}

// instanceFromObject reads a member of a list. All faults of the list are counted together, at the list.
func instanceFromObject(list, member *settings.Object) (instance Instance, name string) {
	before := list.FaultCount()
	name = member.Text(fieldName)
	address := member.Text(fieldAddress)
	state := states[member.Text(fieldState)]
	addr, err := netip.ParseAddrPort(address)
	if err != nil && state == balancer.Ready {
		state = balancer.Draining // nowhere to send to; the rest of the list still counts
	}
	instance = Instance{
		Addr: addr,
		Endpoint: balancer.Endpoint{
			ID:          ID(name),
			State:       state,
			Capacity:    member.Number(fieldCapacity),
			Zone:        member.NameOrZero(fieldZone),
			Cell:        member.Count(fieldCell),
			MachineType: member.NameOrZero(fieldMachineType),
			StartedAt:   member.Number(fieldStarted) / millisecondsPerSecond,
		},
	}
	instance.faulty = list.FaultCount() > before
	return instance, name
}
