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

// connect returns the two ends of a new connection.
func connect() (*framed.Conn, *net.TCPConn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	defer listener.Close()
	client, err := net.Dial("tcp", listener.Addr().String())
	Expect(err).NotTo(HaveOccurred())
	peer, err := listener.Accept()
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(func() {
		_ = peer.Close()
		_ = client.Close()
	})
	return framed.NewConn(client), peer.(*net.TCPConn)
}

// writeUntilError writes until that fails, and returns the error.
func writeUntilError(write func([]byte) error) chan error {
	failed := make(chan error, 1)
	go func() {
		for block := make([]byte, 64<<10); ; {
			if err := write(block); err != nil {
				failed <- err
				return
			}
		}
	}()
	return failed
}

var _ = Describe("a connection that ends while it is written to", func() {
	writes := map[string]func(c *framed.Conn) func([]byte) error{
		"by Write": func(c *framed.Conn) func([]byte) error {
			return func(b []byte) error { _, err := c.Write(b); return err }
		},
		"by WriteBuffers": func(c *framed.Conn) func([]byte) error {
			return func(b []byte) error { _, err := c.WriteBuffers(net.Buffers{b, b}); return err }
		},
	}
	for name, write := range writes {
		It("fails to read after a reset that the writer got, however often it is read: "+name, func() {
			c, peer := connect()
			failed := writeUntilError(write(c))
			_, err := peer.Write([]byte("part"))
			Expect(err).NotTo(HaveOccurred())
			time.Sleep(10 * time.Millisecond)
			Expect(peer.SetLinger(0)).To(Succeed())
			Expect(peer.Close()).To(Succeed())
			Eventually(failed, "10s").Should(Receive(MatchError(syscall.ECONNRESET)))
			body, err := io.ReadAll(c)
			Expect(err).To(MatchError(syscall.ECONNRESET))
			Expect(string(body)).To(Equal("part"))
			_, err = c.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		})

		It("reads to the end that the peer gave it before it reset the connection: "+name, func() {
			c, peer := connect()
			failed := writeUntilError(write(c))
			_, err := peer.Write([]byte("whole"))
			Expect(err).NotTo(HaveOccurred())
			Expect(peer.CloseWrite()).To(Succeed())
			time.Sleep(10 * time.Millisecond)
			// Closing with bytes that nobody has read resets the connection.
			Expect(peer.Close()).To(Succeed())
			Eventually(failed, "10s").Should(Receive(MatchError(syscall.EPIPE)))
			Expect(io.ReadAll(c)).To(BeEquivalentTo("whole"))
		})

		It("reads to the end while the peer reads no more: "+name, func() {
			c, peer := connect()
			failed := writeUntilError(write(c))
			_, err := peer.Write([]byte("whole"))
			Expect(err).NotTo(HaveOccurred())
			Expect(peer.CloseWrite()).To(Succeed())
			Expect(io.ReadAll(c)).To(BeEquivalentTo("whole"))
			Eventually(failed, "10s").Should(Receive())
		})
	}

	It("fails each read after a reset that a reader got", func() {
		c, peer := connect()
		Expect(peer.SetLinger(0)).To(Succeed())
		Expect(peer.Close()).To(Succeed())
		for range 2 {
			_, err := c.Read(make([]byte, 1))
			Expect(err).To(MatchError(syscall.ECONNRESET))
		}
	})
})
