// Package certs provides the configurations for mutual TLS between instances:
// each side presents a certificate and verifies the other's against the same
// authority. Files are read again when they change, so that certificates can be
// renewed without a restart.
//
// # Usage
//
//	keeper, err := certs.Load("peer.crt", "peer.key", "authority.crt")
//	listener = tls.NewListener(listener, keeper.ServerConfig())
//	transport.TLSClientConfig = keeper.ClientConfig()
package certs

import (
	"crypto/tls"
	"crypto/x509"
	"os"
	"sync"
	"time"

	"github.com/rotisserie/eris"
)

// ErrNoAuthority means that the authority's file contains no certificate.
var ErrNoAuthority = eris.New("no certificate in the authority's file")

// recheckInterval is the least time between two checks of the files.
const recheckInterval = time.Second

// Keeper holds this instance's certificate and the authority that peers are
// verified against, and reloads both. It is safe for concurrent use.
type Keeper struct {
	certificatePath, keyPath, authorityPath string

	mu       sync.Mutex
	pair     *tls.Certificate
	pool     *x509.CertPool
	modified time.Time
	checked  time.Time
}

// Load reads a certificate, its key and the authority's certificate, all PEM files.
func Load(certificate, key, authority string) (*Keeper, error) {
	k := &Keeper{certificatePath: certificate, keyPath: key, authorityPath: authority}
	if err := k.reload(); err != nil {
		return nil, err
	}
	k.modified = k.lastModified()
	return k, nil
}

func (k *Keeper) reload() error {
	pair, err := tls.LoadX509KeyPair(k.certificatePath, k.keyPath)
	if err != nil {
		return eris.Wrap(err, "load certificate")
	}
	body, err := os.ReadFile(k.authorityPath)
	if err != nil {
		return eris.Wrap(err, "read certificate authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(body) {
		return ErrNoAuthority
	}
	k.pair, k.pool = &pair, pool
	return nil
}

// lastModified returns the latest modification time of the files.
func (k *Keeper) lastModified() time.Time {
	var latest time.Time
	for _, path := range []string{k.certificatePath, k.keyPath, k.authorityPath} {
		info, err := os.Stat(path)
		if err == nil && info.ModTime().After(latest) {
			latest = info.ModTime()
		}
	}
	return latest
}

// current returns the certificate and the authority, reloaded if the files
// changed. If the files can't be read, the previous ones stay in use.
func (k *Keeper) current(now time.Time) (*tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if now.Sub(k.checked) >= recheckInterval {
		k.checked = now
		if modified := k.lastModified(); modified != k.modified && k.reload() == nil {
			k.modified = modified
		}
	}
	return k.pair, k.pool
}

// ServerConfig returns the TLS configuration of a listener.
func (k *Keeper) ServerConfig() *tls.Config {
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

// ClientConfig returns the TLS configuration of connections to other instances.
// Their certificates are verified against the authority but not by name, because
// instances are addressed by IP addresses, which change.
func (k *Keeper) ClientConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) {
			pair, _ := k.current(time.Now())
			return pair, nil
		},
		InsecureSkipVerify: true, //nolint:gosec // VerifyConnection checks the chain without the name.
		VerifyConnection:   k.verifyPeer,
	}
}

func (k *Keeper) verifyPeer(state tls.ConnectionState) error {
	_, pool := k.current(time.Now())
	intermediates := x509.NewCertPool()
	for _, certificate := range state.PeerCertificates[1:] {
		intermediates.AddCert(certificate)
	}
	_, err := state.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: pool, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return eris.Wrap(err, "verify peer certificate")
}
