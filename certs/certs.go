// Package certs gives the TLS configurations between instances: each side shows
// a certificate and checks the other's against the same authority. Files are
// read again when they change, so that certificates can be renewed without a
// restart.
//
// # Usage
//
//	keeper, err := certs.Load("peer.crt", "peer.key", "authority.crt")
//	listener = tls.NewListener(listener, keeper.Server())
//	transport.TLSClientConfig = keeper.Client()
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoAuthority means that the authority's file holds no certificate.
var ErrNoAuthority = eris.New("no certificate in the authority's file")

// recheckAfter is the least time between two looks at the files.
const recheckAfter = time.Second

// Keeper holds a certificate and the authority that others are checked against.
// It is safe for concurrent use.
type Keeper struct {
	certificate, key, authority string

	mu      sync.Mutex
	pair    *tls.Certificate
	pool    *x509.CertPool
	changed time.Time
	checked time.Time
}

// Load reads a certificate, its key and the authority's certificate, all PEM files.
func Load(certificate, key, authority string) (*Keeper, error) {
	k := &Keeper{certificate: certificate, key: key, authority: authority}
	if err := k.read(); err != nil {
		return nil, err
	}
	k.changed = k.newest()
	return k, nil
}

func (k *Keeper) read() error {
	pair, err := tls.LoadX509KeyPair(k.certificate, k.key)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	body, err := os.ReadFile(k.authority)
	if err != nil {
		return eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(body) {
		return ErrNoAuthority
	}
	k.pair, k.pool = &pair, pool
	return nil
}

// newest returns when the latest of the files was changed.
func (k *Keeper) newest() time.Time {
	var newest time.Time
	for _, path := range []string{k.certificate, k.key, k.authority} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(newest) {
			newest = info.ModTime()
		}
	}
	return newest
}

// current returns what the files hold. Files that can't be read leave what was
// read before in force.
func (k *Keeper) current(now time.Time) (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.checked) >= recheckAfter {
		k.checked = now
		if newest := k.newest(); newest != k.changed && k.read() == nil {
			k.changed = newest
		}
	}
	return k.pair, k.pool
}

// Server returns the configuration of a listener.
func (k *Keeper) Server() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			pair, pool := k.current(time.Now())
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{*pair},
				ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert,
			}, nil
		},
	}
}

// Client returns the configuration of connections to other instances. They are
// checked against the authority; addresses are IP numbers that move, so that
// the name in the certificate is not.
func (k *Keeper) Client() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current(time.Now())
			return pair, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain without the name.
		VerifyConnection:   k.verify,
	}
}

func (k *Keeper) verify(state tls.ConnectionState) error {
	_, pool := k.current(time.Now())
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "verify peer")
}
