package settings

import "bendtrestle/balancer"

// Enumerated values of the settings. Any other value is read as the zero value; internal/config rejects unknown weight
// modes.
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
	penalties := o.OptionalObject("penalties")
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
		GossipPrice:         penalties.Number("peer"),
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
		settings.MaxRetryAfter = 0 // the limits do not allow Retry-After
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

// originMachineType returns the name of the origin's machine type, which the settings give as an index into "kinds". It
// returns "" if the index is out of range.
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

// placementNames reads the zones or machine types that a traffic class is restricted to; nil: there is no restriction.
// An empty list is a fault, because it would allow no server at all.
func (o *Object) placementNames(field string) []string {
	if o.Absent(field) {
		return nil
	}
	names := o.Texts(field)
	if len(names) == 0 && len(o.values(field)) == 0 {
		o.Fault(field, "empty list; omit the key to allow any")
	}
	return names
}
