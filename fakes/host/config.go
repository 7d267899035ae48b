package host

import "encoding/json"

// Config returns a configuration with routes of each kind: /safe/ and /once/ to
// the service plain, /stream/ and /resume/ to the service models, whose engines
// have memory for two models each.
func Config(version int, models []string, extra ...map[string]any) []byte {
	return encodeConfig(nil, version, models, extra)
}

func route(prefix, kind, service string, resumable bool) map[string]any {
	return map[string]any{
		"name": "r" + prefix, "host": "h.example", "pathPrefix": prefix, "kind": kind, "service": service, "maxAttempts": 2,
		"timeoutMs": 10000, "targetLatencyMs": 500, "targetGapMs": 500, "priority": 1, "resumable": resumable, "sticky": service == "models",
	}
}

func encodeConfig(organisations []Organisation, version int, models []string, extra []map[string]any) []byte {
	routes := []map[string]any{
		route("/safe/", "idempotent", "plain", false), route("/once/", "non_idempotent", "plain", false),
		route("/stream/", "streaming", "models", false), route("/resume/", "streaming", "models", true),
	}
	list := []map[string]any{}
	for _, model := range models {
		list = append(list, map[string]any{"name": model, "weightsMb": 70, "loadTimeS": 0.3, "diskS": 0.1, "warmupS": 0.1, "adapters": 4, "adapterMb": 1})
	}
	document := map[string]any{
		"version": version, "routes": append(routes, extra...),
		"services": []map[string]any{
			{"name": "plain", "healthPath": "/health", "maxConnections": 50},
			{"name": "models", "healthPath": "/health", "maxConnections": 50, "engine": map[string]any{
				"slots": 16, "kvCapacityTokens": 100000, "weightsMb": 150, "adapterSlots": 4, "loadsPerS": 20, "models": list,
			}},
		},
		"limits": map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 65536, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000},
	}
	if len(organisations) > 0 {
		document["tenants"] = organisations
	}
	body, err := json.Marshal(document)
	if err != nil {
		return nil
	}
	return body
}
