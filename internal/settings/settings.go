package settings

import "bendtrestle/balancer"

var effects = map[string]balancer.Idempotency{"retryable": balancer.Idempotent, "dedup": balancer.IdempotencyKeyed}

var groups = map[string]balancer.DeduplicationScope{"all": balancer.ScopeAll, "zone": balancer.ScopeZone}

var weights = map[string]balancer.WeightMode{"nominal": balancer.WeightsStatic, "rough": balancer.WeightsStatic, "live": balancer.WeightsLive}

// Settings reads the settings of an instance.
func (o *Object) Settings() balancer.Settings {
	family, limits, rules, prices := o.Part("familyInfo"), o.Part("limits"), o.Part("rules"), o.Part("penalties")
	set := balancer.Settings{
		RouterIndex:         int(o.Count("me")),
		RouterCount:         int(o.Count("fleetSize")),
		EventInterval:       o.Seconds("step"),
		OrderedConnections:  family.Flag("ordered"),
		PollEndpoints:       o.Text("discovery") == "on_request",
		WeightMode:          weights[o.Text("weights")],
		MaxAttempts:         int(limits.Number("mostExecutions")),
		HedgingAllowed:      limits.Flag("secondCopies"),
		CancellationAllowed: limits.Flag("cancelling"),
		MaxRetryAfter:       limits.Seconds("maxRetryAfter"),
		OverQuotaWeight:     o.Number("overageBenefit"),
		ProbesAllowed:       limits.Flag("probes"),
		GossipAllowed:       limits.Flag("peers"),
		GossipPrice:         prices.Number("peer"),
		PollInterval:        rules.Seconds("askWithin"),
		OverloadWindow:      rules.Seconds("fall"),
		OverloadFactor:      rules.Number("tipMultiple"),
		WarmupStartCapacity: rules.Number("startCapacity"),
		WarmupDuration:      rules.Seconds("warmWithin"),
		StartTimeError:      rules.Seconds("bootStampError"),
	}
	at, names := int(family.Number("originKind")), o.Texts("kinds")
	if set.CacheAside = family.Text("mode") == "aside"; set.CacheAside && at >= 0 && at < len(names) {
		set.OriginMachineType = names[at]
	}
	if !limits.Flag("retryAfter") {
		set.MaxRetryAfter = 0 // none is passed on
	}
	for _, t := range o.List("trafficTypes") {
		set.TrafficClasses = append(set.TrafficClasses, balancer.TrafficClass{Name: t.Text("name"),
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
