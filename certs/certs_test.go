package certs_test

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/certs"
)

func TestCerts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "certs")
}

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	body        []byte
}

func newAuthority() *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	Expect(err).NotTo(HaveOccurred())
	certificate, err := x509.ParseCertificate(der)
	Expect(err).NotTo(HaveOccurred())
	return &authority{certificate: certificate, key: key, body: pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der})}
}

// issue writes a new certificate, its key and the authority to files in the folder.
func (a *authority) issue(folder string, serial int64) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	Expect(err).NotTo(HaveOccurred())
	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: "entry"},
		NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, a.certificate, &key.PublicKey, a.key)
	Expect(err).NotTo(HaveOccurred())
	keyBytes, err := x509.MarshalECPrivateKey(key)
	Expect(err).NotTo(HaveOccurred())
	write := func(name string, body []byte) {
		Expect(os.WriteFile(filepath.Join(folder, name), body, 0o600)).To(Succeed())
	}
	write("peer.crt", pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}))
	write("peer.key", pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyBytes}))
	write("authority.crt", a.body)
}

func load(folder string) *certs.Keeper {
	keeper, err := certs.Load(filepath.Join(folder, "peer.crt"), filepath.Join(folder, "peer.key"), filepath.Join(folder, "authority.crt"))
	Expect(err).NotTo(HaveOccurred())
	return keeper
}

var _ = Describe("the connection between instances", func() {
	var (
		trusted *authority
		server  *httptest.Server
		serial  *big.Int
	)

	serve := func(folder string) {
		server = httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
		server.TLS = load(folder).ServerConfig()
		server.StartTLS()
		DeferCleanup(server.Close)
	}
	call := func(config *tls.Config) error {
		transport := &http.Transport{TLSClientConfig: config, DisableKeepAlives: true}
		response, err := (&http.Client{Transport: transport}).Get(server.URL)
		if err != nil {
			return err
		}
		serial = response.TLS.PeerCertificates[0].SerialNumber
		return response.Body.Close()
	}

	BeforeEach(func() { trusted = newAuthority() })

	It("succeeds with certificates of one authority", func() {
		mine, yours := GinkgoT().TempDir(), GinkgoT().TempDir()
		trusted.issue(mine, 2)
		trusted.issue(yours, 3)
		serve(yours)
		Expect(call(load(mine).ClientConfig())).To(Succeed())
	})

	It("is refused by either side without a certificate of the authority", func() {
		mine, strange := GinkgoT().TempDir(), GinkgoT().TempDir()
		trusted.issue(mine, 2)
		newAuthority().issue(strange, 3)
		serve(mine)
		Expect(call(load(strange).ClientConfig())).NotTo(Succeed())
		Expect(call(&tls.Config{InsecureSkipVerify: true})).NotTo(Succeed())
		serve(strange)
		Expect(call(load(mine).ClientConfig())).NotTo(Succeed())
	})

	It("presents a renewed certificate without a restart", func() {
		mine := GinkgoT().TempDir()
		trusted.issue(mine, 2)
		serve(mine)
		client := load(mine).ClientConfig()
		Expect(call(client)).To(Succeed())
		Expect(serial.Int64()).To(Equal(int64(2)))
		trusted.issue(mine, 9)
		Eventually(func() int64 {
			Expect(call(client)).To(Succeed())
			return serial.Int64()
		}, "20s").Should(Equal(int64(9)))
	})

	It("cannot be configured without a certificate of the authority", func() {
		folder := GinkgoT().TempDir()
		trusted.issue(folder, 2)
		Expect(os.WriteFile(filepath.Join(folder, "authority.crt"), []byte("none"), 0o600)).To(Succeed())
		_, err := certs.Load(filepath.Join(folder, "peer.crt"), filepath.Join(folder, "peer.key"), filepath.Join(folder, "authority.crt"))
		Expect(err).To(MatchError(certs.ErrNoAuthority))
	})
})
