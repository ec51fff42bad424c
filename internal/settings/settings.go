package settings

import "bendtrestle/balancer"

var effects = map[string]balancer.Idempotency{"retryable": balancer.Idempotent, "dedup": balancer.IdempotencyKeyed}

var groups = map[string]balancer.DeduplicationScope{"all": balancer.ScopeAll, "zone": balancer.ScopeZone}

var weights = map[string]balancer.WeightMode{"nominal": balancer.WeightsStatic, "rough": balancer.WeightsStatic, "live": balancer.WeightsLive}

// Settings reads the settings of an instance.
func (o *Object) Settings() balancer.Settings {
	family, limits, rules, prices := o.Part("familyInfo"), o.Part("limits"), o.Part("rules"), o.Part("penalties")
	set := balancer.Settings{
		Me:             int(o.Count("me")),
		Routers:        int(o.Count("fleetSize")),
		Step:           o.Seconds("step"),
		Ordered:        family.Flag("ordered"),
		OnRequest:      o.Text("discovery") == "on_request",
		Weights:        weights[o.Text("weights")],
		MostExecutions: int(limits.Number("mostExecutions")),
		SecondCopies:   limits.Flag("secondCopies"),
		Cancelling:     limits.Flag("cancelling"),
		MaxRetryAfter:  limits.Seconds("maxRetryAfter"),
		OverBenefit:    o.Number("overageBenefit"),
		Probes:         limits.Flag("probes"),
		Peers:          limits.Flag("peers"),
		Telling:        prices.Number("peer"),
		AskWithin:      rules.Seconds("askWithin"),
		Fall:           rules.Seconds("fall"),
		TipMultiple:    rules.Number("tipMultiple"),
		StartCapacity:  rules.Number("startCapacity"),
		WarmWithin:     rules.Seconds("warmWithin"),
		StampError:     rules.Seconds("bootStampError"),
	}
	at, names := int(family.Number("originKind")), o.Texts("kinds")
	if set.Aside = family.Text("mode") == "aside"; set.Aside && at >= 0 && at < len(names) {
		set.OriginKind = names[at]
	}
	if !limits.Flag("retryAfter") {
		set.MaxRetryAfter = 0 // none is passed on
	}
	for _, t := range o.List("trafficTypes") {
		set.TrafficTypes = append(set.TrafficTypes, balancer.TrafficClass{Name: t.Text("name"),
			Idempotency: effects[t.Text("effect")], DeduplicationScope: groups[t.Text("keyScope")], DeduplicationWindow: t.Seconds("dedupWindow"),
			LatencyObjective: t.Seconds("promisedTime"), Deadline: t.Seconds("hardStop"),
			PriorityWeight: t.Number("benefit"), LateValue: t.Number("overdueBenefit"), Stream: t.Flag("stream"),
			AllowedZones: t.places("runsIn"), AllowedMachineTypes: t.places("allowedOn")})
	}
	for _, t := range o.List("tenants") {
		set.Tenants = append(set.Tenants, balancer.Tenant{Name: t.Text("name"), Quota: t.Number("quotaRps")})
	}
	return set
}

// places reads the names to which alone a traffic type may be sent, nil where it is not bound. A list without any would
// leave it nowhere to run, which nobody means.
func (o *Object) places(field string) []string {
	if o.Absent(field) {
		return nil
	}
	names := o.Texts(field)
	if len(names) == 0 && len(o.values(field)) == 0 {
		o.Fault(field, "names nothing; leave it out where any will do")
	}
	return names
}
