//go:build wireinject

package front

import (
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"
)

// Build returns the instance of the settings.
func Build(settings *Settings, logger hclog.Logger) *Instance {
	wire.Build(Set)
	return nil
}
