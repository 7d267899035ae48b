// Package link carries the calls between instances over Twirp.
//
// # Usage
//
//	dialer := link.NewDialer(timeout, keeper)
//	reply, err := dialer.Dial("127.0.0.1:7201").Exchange(ctx, digest)
//
//	handler := link.Handler(link.NewServer(loop, claims, views, shards))
package link

import (
	"net/http"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/certs"
	"cardamomcourse.example/cardamom/framed"
	"cardamomcourse.example/cardamom/meter"
	"cardamomcourse.example/cardamom/peerpb"
)

// idleTimeout is how long an idle connection to a peer is kept open.
const idleTimeout = time.Minute

// Dialer caches a client for each peer address. It is safe for concurrent use.
type Dialer struct {
	mu      sync.Mutex
	http    *http.Client
	meter   *meter.Meter
	clients map[string]peerpb.Peer
	scheme  string
}

// NewDialer returns a dialer whose calls last at most timeout. A nil keeper
// switches TLS off: calls use plain HTTP and peers are not authenticated.
func NewDialer(timeout time.Duration, keeper *certs.Keeper) *Dialer {
	counted := &meter.Meter{}
	transport := &http.Transport{MaxIdleConnsPerHost: 16, IdleConnTimeout: idleTimeout, DialContext: counted.DialContext}
	scheme := "http://"
	if keeper != nil {
		scheme = "https://"
		transport.TLSClientConfig = keeper.ClientConfig()
	}
	return &Dialer{
		scheme:  scheme,
		meter:   counted,
		http:    &http.Client{Timeout: timeout, Transport: framed.New(framed.Limit(transport, maxMessageBytes))},
		clients: make(map[string]peerpb.Peer),
	}
}

// Meter returns the byte counters of the calls this instance makes to peers.
func (d *Dialer) Meter() *meter.Meter { return d.meter }

// Dial returns the client of the peer at the address.
func (d *Dialer) Dial(address string) peerpb.Peer {
	d.mu.Lock()
	defer d.mu.Unlock()
	client, ok := d.clients[address]
	if !ok {
		client = peerpb.NewPeerProtobufClient(d.scheme+address, d.http)
		d.clients[address] = client
	}
	return client
}
