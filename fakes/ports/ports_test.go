package ports_test

import (
	"net"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/ports"
)

func TestPorts(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "ports")
}

var _ = Describe("a pool of ports", func() {
	It("chooses no address that another pool has chosen, though nothing listens there yet", func() {
		var pools [3]ports.Pool
		chosen := make(map[string]bool)
		for n := range 1200 {
			pool := &pools[n%len(pools)]
			if n < len(pools) {
				DeferCleanup(pool.Close)
			}
			address, err := pool.Free()
			Expect(err).NotTo(HaveOccurred())
			Expect(chosen).NotTo(HaveKey(address))
			chosen[address] = true
		}
	})

	It("goes on with another block when its own is used up", func() {
		var pool ports.Pool
		DeferCleanup(pool.Close)
		chosen := make(map[string]bool)
		for range 700 {
			address, err := pool.Free()
			Expect(err).NotTo(HaveOccurred())
			chosen[address] = true
		}
		Expect(chosen).To(HaveLen(700))
	})

	It("leaves out a port on which something listens", func() {
		var pool ports.Pool
		DeferCleanup(pool.Close)
		taken, err := pool.Free()
		Expect(err).NotTo(HaveOccurred())
		listener, err := net.Listen("tcp", taken)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(listener.Close)
		for range 1000 {
			address, err := pool.Free()
			Expect(err).NotTo(HaveOccurred())
			Expect(address).NotTo(Equal(taken))
		}
	})
})
