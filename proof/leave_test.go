package proof_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/host"
)

// Callers lost their connection without an answer when the grace time ended while their
// requests waited at an upstream.
var _ = Describe("an instance that is stopped while upstreams don't answer", func() {
	paths := map[string]string{"/once/x": "", "/safe/x": "", "/stream/x": "m1", "/resume/x": "m1"}
	It("answers each request before it ends", func() {
		s := startFront(2)
		leaving := s.Instances[0]
		for _, upstream := range s.Upstreams {
			upstream.AppendBehaviours(host.Hang, host.Hang, host.Hang, host.Hang, host.Hang, host.Hang)
		}
		answers := make(map[string]chan host.Response)
		for path, model := range paths {
			answer := make(chan host.Response, 1)
			answers[path] = answer
			go func() {
				defer GinkgoRecover()
				got, err := s.Send(context.Background(), host.Request{ID: "waits" + path, Path: path, Model: model, Address: leaving.EntryAddress})
				Expect(err).NotTo(HaveOccurred(), path)
				answer <- got
			}()
		}
		Eventually(s.Runs, conditionTimeout).Should(HaveLen(len(paths)))
		Expect(leaving.Signal(syscall.SIGTERM)).To(Succeed())
		for path, answer := range answers {
			var got host.Response
			Eventually(answer, conditionTimeout).Should(Receive(&got), path)
			Expect(got.Complete).To(BeTrue(), path)
			Expect(got.Status).To(Equal(502), path)
			Expect(got.Body).To(Equal("leaving\n"), path)
		}
		Eventually(leaving.Done(), conditionTimeout).Should(BeClosed())
		Expect(leaving.Log()).To(ContainSubstring("event=stopped"))
	})
})

// lateRequests is how many requests are sent in the grace time, and latePace the pause between
// two of them: together they last longer than it.
const (
	lateRequests = 90
	latePace     = 40 * time.Millisecond
)

// Requests that came late in the grace time were passed on, and cut off without an answer at its
// end.
var _ = Describe("requests that reach an instance in its grace time", func() {
	It("are answered if they are passed on", func() {
		s := startFront(2)
		leaving := s.Instances[0]
		for _, upstream := range s.Upstreams {
			for range lateRequests {
				upstream.AppendBehaviours(host.Hang)
			}
		}
		open := make([]net.Conn, lateRequests)
		for n := range open {
			c, err := net.Dial("tcp", leaving.EntryAddress)
			Expect(err).NotTo(HaveOccurred())
			DeferCleanup(c.Close)
			open[n] = c
		}
		Expect(leaving.Signal(syscall.SIGTERM)).To(Succeed())
		var mu sync.Mutex
		statuses := make(map[string]int)
		var group sync.WaitGroup
		pace := time.NewTicker(latePace)
		defer pace.Stop()
		for n, c := range open {
			<-pace.C
			group.Go(func() {
				id := fmt.Sprintf("late-%d", n)
				_, _ = fmt.Fprintf(c, "POST /once/x HTTP/1.1\r\nHost: h.example\r\nRequest-Id: %s\r\nDeadline-Ms: 10000\r\nContent-Length: 2\r\n\r\nhi", id)
				response, err := http.ReadResponse(bufio.NewReader(c), nil)
				if err != nil {
					return
				}
				defer response.Body.Close()
				if _, err := io.Copy(io.Discard, response.Body); err != nil {
					return
				}
				mu.Lock()
				defer mu.Unlock()
				statuses[id] = response.StatusCode
			})
		}
		group.Wait()
		Eventually(leaving.Done(), conditionTimeout).Should(BeClosed())
		runs := s.Runs()
		Expect(runs).NotTo(BeEmpty())
		refused := 0
		for n := range lateRequests {
			id := fmt.Sprintf("late-%d", n)
			if runs[id] > 0 {
				Expect(statuses[id]).To(Equal(http.StatusBadGateway), id)
			} else if statuses[id] == http.StatusServiceUnavailable {
				refused++
			}
		}
		Expect(refused).NotTo(BeZero())
	})
})
