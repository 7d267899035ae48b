package proof_test

import (
	"bufio"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// rawReport is what a raw upstream reports as an engine.
const rawReport = `{"models": [{"name": "m1", "version": 1, "adapters": []}], "busy": false, "seq": 0}`

// startRaw starts two instances before so many raw upstreams of each service. It calls serve after
// it has read the head of a request, and closes the connection when that returns. Connections from
// the address cutOff, unless that is empty, are reset at once.
func startRaw(upstreams int, cutOff string, serve func(c *net.TCPConn, request *http.Request)) *host.Site {
	var configuration map[string]any
	Expect(json.Unmarshal(host.Config(1, frontModels), &configuration)).To(Succeed())
	configuration["limits"] = map[string]any{"maxHeaderBytes": 16384, "maxBodyBytes": 2 * uploadBytes, "headerTimeoutMs": 3000, "idleTimeoutMs": 15000}
	body, err := json.Marshal(configuration)
	Expect(err).NotTo(HaveOccurred())
	s, err := host.NewSite(host.SiteOptions{Program: filepath.Join(programs, "cardfront"), Folder: GinkgoT().TempDir(), Instances: 2, Config: body})
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(s.Close)
	DeferCleanup(func() {
		if CurrentSpecReport().Failed() {
			for _, instance := range s.Instances {
				GinkgoWriter.Printf("== %s\n%s\n", instance.Name(), instance.Log())
			}
		}
	})
	for n := range upstreams {
		for _, service := range []string{"plain", "models"} {
			row, err := json.Marshal(map[string]any{
				"service": service, "address": listenRaw(cutOff, serve), "zone": "x", "version": "v1", "slots": 16, "state": "ready", "coldRemainingMs": 0,
				"seq": 1, "born": time.Now().UnixMilli(), "models": []map[string]any{{"name": "m1", "version": 1, "adapters": []string{}}},
			})
			Expect(err).NotTo(HaveOccurred())
			s.Store.Put("servers", fmt.Sprintf("%s-%d", service, n+1), row)
		}
	}
	awaitMembers(s, s.Instances)
	return s
}

// listenRaw starts a raw upstream and returns its address.
func listenRaw(cutOff string, serve func(c *net.TCPConn, request *http.Request)) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	DeferCleanup(listener.Close)
	go func() {
		for {
			c, err := listener.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				tcp := c.(*net.TCPConn)
				if source := tcp.RemoteAddr().(*net.TCPAddr).IP.String(); source == cutOff {
					_ = tcp.SetLinger(0)
					return
				}
				request, err := http.ReadRequest(bufio.NewReader(c))
				if err != nil {
					return
				}
				switch request.RequestURI {
				case "/health":
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nInstance: %s\r\nConnection: close\r\nContent-Length: 0\r\n\r\n", request.Header.Get("Expect-Instance"))
				case "/report":
					_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: %d\r\n\r\n%s", len(rawReport), rawReport)
				default:
					serve(tcp, request)
				}
			}()
		}
	}()
	return listener.Addr().String()
}
