package wire

import (
	"fmt"

	"bendtrestle/logic"

	"github.com/valyala/fastjson"
)

// message reads fields of one line and keeps the first fault it meets.
type message struct {
	v    *fastjson.Value
	name string
	err  error
}

func (m *message) fault(field, what string) {
	if m.err == nil {
		m.err = fmt.Errorf("%s: %s: %s", m.name, field, what)
	}
}

// id reads a number that must be there.
func (m *message) id(field string) uint64 {
	v := m.v.Get(field)
	if v == nil {
		m.fault(field, "missing")
		return 0
	}
	x, err := v.Uint64()
	if err != nil {
		m.fault(field, "not a whole number")
	}
	return x
}

// count reads a whole number that may be absent.
func (m *message) count(field string) uint64 {
	if m.absent(field) {
		return 0
	}
	return m.id(field)
}

func (m *message) absent(field string) bool {
	v := m.v.Get(field)
	return v == nil || v.Type() == fastjson.TypeNull
}

func (m *message) number(field string) float64 {
	if m.absent(field) {
		return 0
	}
	x, err := m.v.Get(field).Float64()
	if err != nil {
		m.fault(field, "not a number")
	}
	return x
}

func (m *message) seconds(field string) float64 { return m.number(field) / 1e9 }

func (m *message) flag(field string) bool {
	if m.absent(field) {
		return false
	}
	x, err := m.v.Get(field).Bool()
	if err != nil {
		m.fault(field, "not true or false")
	}
	return x
}

func (m *message) text(field string) string {
	if m.absent(field) {
		return ""
	}
	x, err := m.v.Get(field).StringBytes()
	if err != nil {
		m.fault(field, "not a text")
	}
	return string(x)
}

// name0 reads a name that is 0 where there is none.
func (m *message) name0(field string) string {
	if v := m.v.Get(field); v != nil && v.Type() == fastjson.TypeNumber {
		return ""
	}
	return m.text(field)
}

// sub reads an object; a fault in it is a fault of this message.
func (m *message) sub(field string) *nested {
	v := m.v.Get(field)
	if v == nil || v.Type() != fastjson.TypeObject {
		m.fault(field, "not an object")
		return &nested{up: m, message: message{v: fastjson.MustParse("{}"), name: m.name}}
	}
	return &nested{up: m, message: message{v: v, name: m.name + ": " + field}}
}

// list reads an array of objects.
func (m *message) list(field string) []*nested {
	if m.absent(field) {
		return nil
	}
	values, err := m.v.Get(field).Array()
	if err != nil {
		m.fault(field, "not a list")
	}
	var all []*nested
	for _, v := range values {
		if v.Type() != fastjson.TypeObject {
			m.fault(field, "holds what is not an object")
			return nil
		}
		all = append(all, &nested{up: m, message: message{v: v, name: m.name + ": " + field}})
	}
	return all
}

// nested is an object within a message.
type nested struct {
	message
	up *message
}

// done hands a fault on to the message around it.
func (n *nested) done() {
	if n.up.err == nil {
		n.up.err = n.err
	}
}

func (m *message) members() []logic.Member {
	var all []logic.Member
	for _, e := range m.list("members") {
		all = append(all, logic.Member{ID: e.id("server"), Mode: modes[e.text("mode")],
			Capacity: e.number("capacityHint"), Zone: e.name0("rackZone"), Cell: e.count("pack"),
			Kind: e.name0("model"), Started: e.seconds("lastStart")})
		e.done()
	}
	return all
}

func (n *nested) settings() logic.Settings {
	family, limits, rules, prices := n.part("familyInfo"), n.part("limits"), n.part("rules"), n.part("penalties")
	set := logic.Settings{
		Me:             int(n.count("me")),
		Routers:        int(n.count("fleetSize")),
		Step:           n.seconds("step"),
		Aside:          family.text("mode") == "aside",
		OnRequest:      n.text("discovery") == "on_request",
		HintsFixed:     n.text("weights") == "nominal" || n.text("weights") == "rough",
		MostExecutions: int(limits.number("mostExecutions")),
		SecondCopies:   limits.flag("secondCopies"),
		Cancelling:     limits.flag("cancelling"),
		MaxRetryAfter:  limits.seconds("maxRetryAfter"),
		OverBenefit:    n.number("overageBenefit"),
		Probes:         limits.flag("probes"),
		Peers:          limits.flag("peers"),
		Probing:        prices.number("probe"),
		Telling:        prices.number("peer"),
		Opening:        prices.number("handshake"),
		Holding:        prices.number("connection"),
		AskWithin:      rules.seconds("askWithin"),
		Fall:           rules.seconds("fall"),
		TipMultiple:    rules.number("tipMultiple"),
		StartCapacity:  rules.number("startCapacity"),
		WarmWithin:     rules.seconds("warmWithin"),
	}
	if !limits.flag("retryAfter") {
		set.MaxRetryAfter = 0 // none is passed on
	}
	at, names := int(family.number("originKind")), n.v.GetArray("kinds")
	if set.Aside && at >= 0 && at < len(names) {
		set.OriginKind = string(names[at].GetStringBytes())
	}
	for _, t := range n.list("trafficTypes") {
		set.TrafficTypes = append(set.TrafficTypes, logic.TrafficType{Name: t.text("name"),
			Effect: effects[t.text("effect")], Group: groups[t.text("keyScope")], Window: t.seconds("dedupWindow"),
			PromisedTime: t.seconds("promisedTime"), HardStop: t.seconds("hardStop"),
			Benefit: t.number("benefit"), OverdueBenefit: t.number("overdueBenefit"), Stream: t.flag("stream")})
		t.done()
	}
	for _, t := range n.list("tenants") {
		set.Tenants = append(set.Tenants, logic.Tenant{Name: t.text("name"), Quota: t.number("quotaRps")})
		t.done()
	}
	for _, part := range []*nested{family, limits, rules, prices, n} {
		part.done()
	}
	return set
}

// part reads an object within an object; an absent one reads as empty.
func (n *nested) part(field string) *nested {
	if n.absent(field) {
		return &nested{up: &n.message, message: message{v: fastjson.MustParse("{}"), name: n.name}}
	}
	return n.sub(field)
}
