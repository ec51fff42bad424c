package settings

import "bendtrestle/balancer"

// Words of the settings. One that is not here stands for the zero value; internal/config refuses it.
var (
	idempotencies = map[string]balancer.Idempotency{
		"retryable": balancer.Idempotent,
		"dedup":     balancer.IdempotencyKeyed,
	}
	deduplicationScopes = map[string]balancer.DeduplicationScope{
		"all":  balancer.ScopeAll,
		"zone": balancer.ScopeZone,
	}
	weightModes = map[string]balancer.WeightMode{
		"nominal": balancer.WeightsStatic,
		"rough":   balancer.WeightsStatic,
		"live":    balancer.WeightsLive,
	}
)

// Settings reads the settings of a balancer. Fields are read in the order in which their faults are reported.
func (o *Object) Settings() balancer.Settings {
	family := o.OptionalObject("familyInfo")
	limits := o.OptionalObject("limits")
	rules := o.OptionalObject("rules")
	prices := o.OptionalObject("penalties")
	settings := balancer.Settings{
		RouterIndex:         int(o.Count("me")),
		RouterCount:         int(o.Count("fleetSize")),
		EventInterval:       o.Seconds("step"),
		OrderedConnections:  family.Flag("ordered"),
		PollEndpoints:       o.Text("discovery") == "on_request",
		WeightMode:          weightModes[o.Text("weights")],
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
	originMachineType := o.originMachineType(family)
	settings.CacheAside = family.Text("mode") == "aside"
	if settings.CacheAside {
		settings.OriginMachineType = originMachineType
	}
	if !limits.Flag("retryAfter") {
		settings.MaxRetryAfter = 0 // no Retry-After is passed on
	}
	for _, class := range o.List("trafficTypes") {
		settings.TrafficClasses = append(settings.TrafficClasses, class.trafficClass())
	}
	for _, tenant := range o.List("tenants") {
		settings.Tenants = append(settings.Tenants, balancer.Tenant{
			Name:  tenant.Text("name"),
			Quota: tenant.Number("quotaRps"),
		})
	}
	return settings
}

// originMachineType returns the name of the origin's kind of machine, which is given by its index among all kinds;
// empty where the index is none.
func (o *Object) originMachineType(family *Object) string {
	index := int(family.Number("originKind"))
	kinds := o.Texts("kinds")
	if index < 0 || index >= len(kinds) {
		return ""
	}
	return kinds[index]
}

func (o *Object) trafficClass() balancer.TrafficClass {
	return balancer.TrafficClass{
		Name:                o.Text("name"),
		Idempotency:         idempotencies[o.Text("effect")],
		DeduplicationScope:  deduplicationScopes[o.Text("keyScope")],
		DeduplicationWindow: o.Seconds("dedupWindow"),
		LatencyObjective:    o.Seconds("promisedTime"),
		Deadline:            o.Seconds("hardStop"),
		PriorityWeight:      o.Number("benefit"),
		LateValue:           o.Number("overdueBenefit"),
		Stream:              o.Flag("stream"),
		AllowedZones:        o.placementNames("runsIn"),
		AllowedMachineTypes: o.placementNames("allowedOn"),
	}
}

// placementNames reads the zones or kinds of machine to which alone a traffic class may be sent; nil: any will do. A
// list without any would leave it nowhere to run, which nobody means.
func (o *Object) placementNames(field string) []string {
	if o.Absent(field) {
		return nil
	}
	names := o.Texts(field)
	if len(names) == 0 && len(o.values(field)) == 0 {
		o.Fault(field, "names nothing; leave it out where any will do")
	}
	return names
}
