package entry

import (
	"context"
	"net"
	"time"

	"cardamomcourse.example/cardamom/framed"
)

// keepAlivePeriod is the time between two TCP keep-alive probes.
const keepAlivePeriod = 15 * time.Second

// dialContext connects within dialTimeout.
func dialContext(ctx context.Context, network, address string) (net.Conn, error) {
	dialer := &net.Dialer{Timeout: dialTimeout, KeepAlive: keepAlivePeriod}
	base, err := dialer.DialContext(ctx, network, address)
	if err != nil {
		return nil, err
	}
	return framed.NewLineConn(framed.NewUploadConn(framed.NewConn(base))), nil
}
