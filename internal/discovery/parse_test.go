package discovery

import (
	"maps"
	"net/netip"
	"strings"
	"testing"

	"bendtrestle/balancer"
)

func TestParse(t *testing.T) {
	list, err := Parse([]byte(`{"generation":43,"reset":true,"instances":[
		{"instanceId":"s-1","hostPort":"10.1.0.18:11211","zone":"a","machineType":"m2","cell":3,
			"lifecycle":"ready","weight":0.6,"startedAtMs":1500,"news":[1]},
		{"instanceId":"s-2","hostPort":"10.1.0.19:11211","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"","lifecycle":"gone"},
		{"instanceId":"s-4","hostPort":"nowhere","lifecycle":"ready"},
		{"instanceId":"s-5","hostPort":"10.1.0.20:11211","lifecycle":"asleep"}]}`))
	if err != nil || list.Generation != 43 || !list.Full || len(list.Instances) != 5 {
		t.Fatalf("got %+v, %v", list, err)
	}
	first := Instance{Addr: netip.MustParseAddrPort("10.1.0.18:11211"), Endpoint: balancer.Endpoint{ID: ID("s-1"),
		State: balancer.Ready, Capacity: 0.6, Zone: "a", Cell: 3, MachineType: "m2", StartedAt: 1.5}}
	if list.Instances[0] != first {
		t.Errorf("got %+v, want %+v", list.Instances[0], first)
	}
	// A server without a valid address is draining, and one with an unknown state is removed: neither gets new requests.
	for i, want := range []balancer.EndpointState{
		balancer.Ready, balancer.Draining, balancer.Removed, balancer.Draining, balancer.Removed,
	} {
		if got := list.Instances[i].State; got != want {
			t.Errorf("instance %d: got state %d, want %d", i, got, want)
		}
	}
}

func TestMalformedLists(t *testing.T) {
	for text, want := range map[string]string{
		`[]`:                               "malformed list: not an object",
		`{"instances":[]}`:                 "generation: missing",
		`{"generation":"x"}`:               "generation: not a whole number",
		`{"generation":1,"instances":3}`:   "instances: not a list",
		`{"generation":1,"instances":[3]}`: "instances: holds what is not an object",
		`{"generation":1,"instances":[{"instanceId":"s","weight":"heavy"}]}`:              "instances: weight: not a number",
		`{"generation":1,"reset":true}`:                                                   "instances: missing",
		`{"generation":1,"reset":3,"instances":[{"instanceId":"s","lifecycle":"ready"}]}`: "reset: not true or false",
	} {
		if _, err := Parse([]byte(text)); err == nil || err.Error() != want {
			t.Errorf("%s: got error %v, want %s", text, err, want)
		}
	}
}

// A malformed instance must not hide the drain of another instance in the same list. Its own server must not get
// requests on the basis of incomplete data.
func TestMalformedInstanceDoesNotHideDrain(t *testing.T) {
	malformed := strings.Repeat(`{"instanceId":"s-9","hostPort":"10.1.0.9:1","lifecycle":"ready","cell":"x"},`, 150)
	list, err := Parse([]byte(`{"generation":43,"reset":false,"instances":[7,` + malformed + `
		{"instanceId":3,"lifecycle":"ready"},
		{"instanceId":"s-1","hostPort":"10.1.0.18:1","lifecycle":"ready","startedAtMs":"now"},
		{"instanceId":"s-2","hostPort":"10.1.0.19:1","lifecycle":"draining"},
		{"instanceId":"s-3","hostPort":"10.1.0.20:1","lifecycle":"gone","weight":"-"},
		{"instanceId":"s-4","hostPort":"10.1.0.21:1","lifecycle":"ready"}]}`))
	if err != nil || list.FirstFault == "" {
		t.Fatalf("got error %v and first fault %q, want no error and a fault", err, list.FirstFault)
	}
	got := map[uint64]balancer.EndpointState{}
	for _, instance := range list.Instances {
		got[instance.ID] = instance.State
	}
	want := map[uint64]balancer.EndpointState{
		ID("s-9"): balancer.Draining,
		ID("s-1"): balancer.Draining,
		ID("s-2"): balancer.Draining,
		ID("s-3"): balancer.Removed,
		ID("s-4"): balancer.Ready,
	}
	if !maps.Equal(got, want) {
		t.Errorf("got %v, want %v", got, want)
	}
}

// For any answer of a list service the parser does not panic, and a ready server has a valid address and no fault.
func FuzzParse(f *testing.F) {
	f.Add([]byte(`{"generation":43,"reset":true,"instances":[{"instanceId":"s-1","hostPort":"10.1.0.18:11211",` +
		`"zone":"a","lifecycle":"ready","weight":0.6}]}`))
	f.Add([]byte(`{"generation":1,"instances":[7,{"instanceId":"s","cell":"x","lifecycle":"ready"},` +
		`{"instanceId":"t","lifecycle":"draining"}]}`))
	f.Fuzz(func(t *testing.T, text []byte) {
		list, err := Parse(text)
		for _, instance := range list.Instances {
			if err == nil && instance.State == balancer.Ready && (instance.faulty || !instance.Addr.IsValid()) {
				t.Errorf("%q: %+v is ready, want draining or removed", text, instance)
			}
		}
	})
}
