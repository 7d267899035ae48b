//go:build wireinject

package front

import (
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"
)

// Build returns an instance with the settings. Wire generates its body.
func Build(settings *Settings, logger hclog.Logger) *Instance {
	wire.Build(Set)
	return nil
}
