package framed_test

import (
	"io"
	"net"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/framed"
)

// net/http gave an answer up that came before its upload had ended, as the write of the rest failed.
var _ = Describe("a connection whose writes fail for its reader alone", func() {
	It("is read to the end that the peer gave it before it reset the connection", func() {
		c, peer := connect()
		upload := framed.NewUploadConn(c)
		_, err := peer.Write([]byte("whole"))
		Expect(err).NotTo(HaveOccurred())
		Expect(peer.CloseWrite()).To(Succeed())
		time.Sleep(10 * time.Millisecond)
		Expect(peer.SetLinger(0)).To(Succeed())
		Expect(peer.Close()).To(Succeed())
		for range 100 {
			n, err := upload.Write(make([]byte, 64<<10))
			Expect(n).To(Equal(64 << 10))
			Expect(err).NotTo(HaveOccurred())
		}
		body, err := io.ReadAll(upload)
		Expect(err).NotTo(HaveOccurred())
		Expect(string(body)).To(Equal("whole"))
	})

	It("fails to read after a reset that a write got", func() {
		c, peer := connect()
		upload := framed.NewUploadConn(c)
		_, err := peer.Write([]byte("part"))
		Expect(err).NotTo(HaveOccurred())
		time.Sleep(10 * time.Millisecond)
		Expect(peer.SetLinger(0)).To(Succeed())
		Expect(peer.Close()).To(Succeed())
		for range 100 {
			_, err := upload.Write(make([]byte, 64<<10))
			Expect(err).NotTo(HaveOccurred())
		}
		_, err = io.ReadAll(upload)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("fails to write after this side has closed it", func() {
		c, _ := connect()
		upload := framed.NewUploadConn(c)
		Expect(upload.Close()).To(Succeed())
		_, err := upload.Write([]byte("more"))
		Expect(err).To(MatchError(net.ErrClosed))
	})
})
