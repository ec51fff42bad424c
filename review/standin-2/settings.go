package main

// milliseconds in the settings' unit.
const milliseconds = 1_000_000

// trafficType is a traffic type of the settings.
func trafficType(name, effect string, promised, hardStop int) map[string]any {
	return map[string]any{
		"name": name, "effect": effect, "promisedTime": promised * milliseconds, "hardStop": hardStop * milliseconds,
		"benefit": 5.0, "overdueBenefit": 0.0, "keyScope": "all", "dedupWindow": 5000 * milliseconds, "stream": false,
	}
}

// platformConfig is a configuration like that of a small deployment: the figures of the settings are those of the wire
// page's example.
func platformConfig(listen, discovery string, memory int, known []instance, types ...map[string]any) config {
	if known == nil {
		known = []instance{}
	}
	return config{
		"name": "n1", "listen": listen, "discovery": discovery, "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": memory, "sockets": 1024},
		"known":  map[string]any{"generation": 41, "reset": true, "instances": known},
		"settings": map[string]any{
			"me": 0, "fleetSize": 1, "step": 2 * milliseconds, "discovery": "pushed", "weights": "nominal",
			"kindOfService": "cache", "benefitBy": "request",
			"familyInfo": map[string]any{"mode": "through", "ordered": true},
			"limits": map[string]any{
				"cancelling": true, "secondCopies": true, "mostExecutions": 5, "probes": false, "peers": false,
				"retryAfter": true, "maxRetryAfter": 1200 * milliseconds, "connIdle": 60000 * milliseconds,
				"connectTimeout": 75 * milliseconds, "streamsPerConn": 100, "openCap": 33333,
			},
			"rules": map[string]any{
				"answerSlack": 8 * milliseconds, "askWithin": 10000 * milliseconds, "drainGrace": 500 * milliseconds,
				"fall": 3000 * milliseconds, "startCapacity": 0.31, "tipMultiple": 4.0, "warmWithin": 9000 * milliseconds,
			},
			"loadInfo":     map[string]any{"how": "off", "names": []string{}},
			"penalties":    map[string]any{"probe": 0.01, "peer": 0.01},
			"trafficTypes": types,
			"tenants":      []any{},
		},
	}
}
