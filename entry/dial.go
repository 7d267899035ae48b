package entry

import (
	"context"
	"net"
	"time"
)

// keepAlivePeriod is the time between two TCP keep-alive probes.
const keepAlivePeriod = 15 * time.Second

// dialContext connects within dialTimeout.
func dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	return dialer.DialContext(ctx, network, address)
}
