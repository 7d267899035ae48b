package host

import (
	"encoding/json"
	"maps"
	"os"
	"path/filepath"

	"github.com/rotisserie/eris"

	"cardamomcourse.example/cardamom/fakes/ports"
)

// newInstance writes the settings file of an instance and returns the instance
// without starting it.
func (s *Site) newInstance(name, source, store string, options SiteOptions) (*Instance, error) {
	addresses := make([]string, 5)
	for i := range addresses {
		address, err := ports.Free()
		if err != nil {
			return nil, err
		}
		addresses[i] = address
	}
	settings := map[string]any{
		"instance": name, "data_centre": "x", "source": source, "store": store, "lease_ms": leaseMS, "fences_checked": !options.Unfenced, "grace_ms": graceMS,
		"listen":   map[string]any{"entry": addresses[0], "ready": addresses[1], "addresses": addresses[2], "sync": addresses[3], "metrics": addresses[4]},
		"retries":  map[string]any{"ratio": 0.2, "window_ms": 10000, "slack": 50},
		"schedule": map[string]any{"shared": options.SharedSchedule},
	}
	if options.KeyMaxAge > 0 {
		settings["keys"] = map[string]any{"max_age_ms": options.KeyMaxAge.Milliseconds()}
	}
	maps.Copy(settings, options.Settings)
	body, err := json.Marshal(settings)
	if err != nil {
		return nil, eris.Wrap(err, "encode settings")
	}
	path := filepath.Join(s.folder, name+".jsonc")
	if err := os.WriteFile(path, body, 0o600); err != nil {
		return nil, eris.Wrap(err, "write settings")
	}
	return &Instance{
		name: name, Source: source, program: options.Program, settingsPath: path, logPath: filepath.Join(s.folder, name+".log"),
		EntryAddress: addresses[0], ReadyAddress: addresses[1], lookupAddress: addresses[2], metricsAddress: addresses[4],
	}, nil
}
