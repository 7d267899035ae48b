//go:build wireinject

package node

import (
	"github.com/google/wire"
	"github.com/hashicorp/go-hclog"

	"cardamomcourse.example/cardamom/conf"
)

// Build returns an instance with the settings; Run starts it.
func Build(settings *conf.Settings, logger hclog.Logger) (*Node, error) {
	wire.Build(Set)
	return nil, nil
}
