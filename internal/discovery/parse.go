package discovery

import (
	"net/netip"
	"slices"
	"strings"

	"bendtrestle/balancer"
	"bendtrestle/internal/settings"
)

// Names of the fields of a list on the wire.
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

// instancesPath is the prefix of the path of a fault in an instance.
const instancesPath = "/" + fieldInstances

const millisecondsPerSecond = 1e3

// states maps the states of instances on the wire. An instance with an unknown state is treated as removed.
var states = map[string]balancer.EndpointState{
	"ready":    balancer.Ready,
	"draining": balancer.Draining,
}

// Parse parses a list in the JSON format of a list service. A fault in one instance affects only that server, which
// gets no new requests; the rest of the list, including its drains, is still used. If a list has faults and none of its
// instances can be used, Parse returns an error.
func Parse(text []byte) (EndpointList, error) {
	object, err := settings.Parse(text, "malformed list")
	if err != nil {
		return EndpointList{}, err
	}
	list := FromObject(object)
	faults := object.Faults()
	if list.Full && object.Absent(fieldInstances) {
		object.Fault(fieldInstances, "missing")
	}
	faulty := list.drainFaulty()
	if len(faults) > 0 && faulty < len(list.Instances) && allInInstances(faults) {
		list.FirstFault = faults[0].Message()
		return list, nil
	}
	return list, object.Err()
}

// allInInstances reports whether all faults are in instances, none in the list itself.
func allInInstances(faults []settings.Fault) bool {
	return !slices.ContainsFunc(faults, func(fault settings.Fault) bool {
		return !strings.HasPrefix(fault.Path, instancesPath)
	})
}

// FromObject reads a list from a parsed object. Faults are recorded in the object.
func FromObject(object *settings.Object) EndpointList {
	list := EndpointList{Generation: object.ID(fieldGeneration), Full: object.Flag(fieldFull)}
	for _, member := range object.List(fieldInstances) {
		instance, name := instanceFromObject(object, member)
		if name != "" {
			list.Instances = append(list.Instances, instance)
		}
	}
	return list
}

// instanceFromObject reads a member of a list. The list records the faults of all its members.
func instanceFromObject(list, member *settings.Object) (instance Instance, name string) {
	before := list.FaultCount()
	name = member.Text(fieldName)
	address := member.Text(fieldAddress)
	state := states[member.Text(fieldState)]
	addr, err := netip.ParseAddrPort(address)
	if err != nil && state == balancer.Ready {
		state = balancer.Draining // there is no address to send to; the rest of the list is still used
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
