package relay_test

import (
	"context"
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/fakes/host"
)

//go:embed testdata/outcomes.json
var outcomes []byte

func TestRelay(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "relay")
}

// outcome is a test case: how the upstreams behave and what the caller gets.
type outcome struct {
	Name string `json:"name"`
	Path string `json:"path"`
	// Behaviours are those of the upstreams, one for each attempt in order.
	Behaviours []host.Behaviour `json:"behaviours"`
	// Only means that there is one upstream instead of two.
	Only   bool `json:"only"`
	Status int  `json:"status"`
	// Body is the expected body. Cut means that the response ends early.
	Body string `json:"body"`
	Cut  bool   `json:"cut"`
	// Begins is what the body of a response that ends early is the beginning of, empty if it
	// isn't checked.
	Begins string `json:"begins"`
	// Runs is how often the request ran, on all upstreams together.
	Runs int `json:"runs"`
	// RetryAfter reports whether the response has a Retry-After header.
	RetryAfter bool `json:"later"`
}

var _ = Describe("the relay", func() {
	var cases []outcome
	if err := json.Unmarshal(outcomes, &cases); err != nil {
		panic(err)
	}
	for _, c := range cases {
		It(c.Name, func() {
			names := []string{"i-2"}
			if c.Only {
				names = nil
			}
			w := newFixture(coord.AwaitResult{}, names...)
			w.script(c.Behaviours)
			model := ""
			if strings.HasPrefix(c.Path, "/stream/") || strings.HasPrefix(c.Path, "/resume/") {
				model = "m"
			}
			response, err := http.DefaultClient.Do(w.newRequest(c.Path, model, nil))
			if c.Cut && err != nil {
				return
			}
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			body, err := io.ReadAll(response.Body)
			if c.Cut {
				Expect(err).To(HaveOccurred(), string(body))
				Expect(c.Begins == "" || strings.HasPrefix(c.Begins, string(body))).To(BeTrue(), string(body))
			} else {
				Expect(err).NotTo(HaveOccurred())
			}
			Expect(response.StatusCode).To(Equal(c.Status), string(body))
			if c.Body != "" {
				Expect(string(body)).To(Equal(c.Body))
			}
			Expect(response.Header.Get("Retry-After") != "").To(Equal(c.RetryAfter))
			Expect(w.runs()).To(HaveLen(c.Runs))
		})
	}

	It("forwards the request unchanged, without the headers that only the system may set", func() {
		w := newFixture(coord.AwaitResult{})
		response, err := http.DefaultClient.Do(w.newRequest("/once//a/../b?x=%2F", "", map[string]string{
			"Hold": "h", "Pin-Ms": "9", "Kv-From": "x", "Kv-Backup": "x", "Expect-Instance": "no", "Request-Priority": "0", "X-Own": "kept", "Connection": "X-Hop", "X-Hop": "1",
		}))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		runs := w.runs()
		Expect(runs).To(HaveLen(1))
		Expect(runs[0].Target).To(Equal("/once//a/../b?x=%2F"))
		Expect(runs[0].Body).To(Equal("the body"))
		for _, name := range []string{"Hold", "Pin-Ms", "Kv-From", "Kv-Backup", "X-Hop"} {
			Expect(runs[0].Header).NotTo(HaveKey(name))
		}
		Expect(runs[0].Header.Get("X-Own")).To(Equal("kept"))
		Expect(runs[0].Header.Get("Request-Id")).To(Equal("r-1"))
		Expect(runs[0].Header.Get("Expect-Instance")).To(HavePrefix("i-"))
		left := 0
		_, err = fmt.Sscan(runs[0].Header.Get("Deadline-Ms"), &left)
		Expect(err).NotTo(HaveOccurred())
		Expect(left).To(And(BeNumerically(">", 0), BeNumerically("<=", 20000)))
	})

	DescribeTable("gives a request as long as its route and its caller allow",
		func(timeout, deadline, most time.Duration) {
			w := newFixture(coord.AwaitResult{})
			w.setTimeout(timeout)
			header := map[string]string{"Deadline-Ms": fmt.Sprint(deadline.Milliseconds())}
			if deadline == 0 {
				header["Deadline-Ms"] = ""
			}
			response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "m", header))
			Expect(err).NotTo(HaveOccurred())
			Expect(response.Body.Close()).To(Succeed())
			left := 0
			_, err = fmt.Sscan(w.runs()[0].Header.Get("Deadline-Ms"), &left)
			Expect(err).NotTo(HaveOccurred())
			Expect(time.Duration(left) * time.Millisecond).To(And(BeNumerically("<=", most), BeNumerically(">", most-5*time.Second)))
		},
		Entry("both more than a minute", 110*time.Second, 110*time.Second, 110*time.Second),
		Entry("the caller less than the route", 110*time.Second, 20*time.Second, 20*time.Second),
		Entry("the route less than the caller", 20*time.Second, 110*time.Second, 20*time.Second),
		Entry("no deadline of the caller", 110*time.Second, time.Duration(0), 110*time.Second),
		Entry("no timeout of the route", time.Duration(0), 110*time.Second, time.Minute),
		Entry("neither", time.Duration(0), time.Duration(0), time.Minute),
	)

	It("resets the connection of an HTTP/1.0 caller whose stream it aborts", func() {
		w := newFixture(coord.AwaitResult{})
		w.script([]host.Behaviour{host.Cut})
		c, err := net.Dial("tcp", strings.TrimPrefix(w.server.URL, "http://"))
		Expect(err).NotTo(HaveOccurred())
		defer c.Close()
		_, err = io.WriteString(c, "GET /stream/x HTTP/1.0\r\nHost: h.example\r\nRequest-Id: r-1\r\nModel: m\r\nDeadline-Ms: 20000\r\n\r\n")
		Expect(err).NotTo(HaveOccurred())
		_, err = io.ReadAll(c)
		Expect(err).To(MatchError(syscall.ECONNRESET))
	})

	It("refuses at once a request whose model will be loaded too late, with a Retry-After", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Expected: 6 * time.Second})
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "cold", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("6."))
		Expect(w.runs()).To(BeEmpty())
	})

	It("reports the only engine with the model as suspected when it can not be reached, and refuses with the time of the load elsewhere as Retry-After", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Expected: 6 * time.Second})
		for _, engine := range w.engines {
			engine.Close()
		}
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "m", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("6."))
		Expect(w.suspected).To(Receive(Equal([]cardamom.UpstreamID{"i-1-models"})))
	})

	It("tries a suspected engine again once the coordinator reports it ready", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Ready: true})
		for _, engine := range w.engines {
			engine.Close()
		}
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "m", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		Expect(response.Header.Get("Retry-After")).To(HavePrefix("0."))
		Expect(w.suspected).To(Receive(Not(BeEmpty())))
		// One call before the second and one before the third attempt.
		Expect(w.calls.Load()).To(BeEquivalentTo(2))
	})

	It("pauses between calls while the coordinator reports engines that are not in the view", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Ready: true})
		response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "cold", nil))
		Expect(err).NotTo(HaveOccurred())
		defer response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusServiceUnavailable))
		// With a pause of 25 ms the request makes at most 110 calls in the 2.75 s
		// that it waits.
		Expect(w.calls.Load()).To(BeNumerically("<=", 120))
	})

	It("refuses a request that waits for a model when the instance closes", func() {
		w := newFixture(coord.AwaitResult{Answered: true, Expected: time.Second})
		status := make(chan int, 1)
		go func() {
			defer GinkgoRecover()
			response, err := http.DefaultClient.Do(w.newRequest("/stream/x", "cold", nil))
			Expect(err).NotTo(HaveOccurred())
			defer response.Body.Close()
			status <- response.StatusCode
		}()
		Consistently(status, 200*time.Millisecond).ShouldNot(Receive())
		w.closing()
		Eventually(status, 10*time.Second).Should(Receive(Equal(http.StatusServiceUnavailable)))
		Expect(w.runs()).To(BeEmpty())
	})

	It("closes the connection to the upstream when the caller disconnects", func() {
		w := newFixture(coord.AwaitResult{})
		w.script([]host.Behaviour{host.Hang})
		ctx, cancel := context.WithCancel(context.Background())
		done := make(chan error, 1)
		go func() {
			_, err := http.DefaultClient.Do(w.newRequest("/safe/x", "", nil).WithContext(ctx))
			done <- err
		}()
		Eventually(w.runs, 10*time.Second).Should(HaveLen(1))
		cancel()
		Eventually(done, 10*time.Second).Should(Receive(HaveOccurred()))
		Eventually(func() int {
			left := 0
			for _, engine := range w.engines {
				left += engine.Disconnects()
			}
			return left
		}, 10*time.Second).Should(Equal(1))
	})

	It("answers 404 if no route matches, 413 and 431 if the body or header is too large", func() {
		w := newFixture(coord.AwaitResult{})
		response, err := http.DefaultClient.Do(w.newRequest("/nowhere/x", "", nil))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusNotFound))
		large := w.newRequest("/safe/x", "", nil)
		large.Body, large.ContentLength = io.NopCloser(strings.NewReader(strings.Repeat("x", 2000))), 2000
		response, err = http.DefaultClient.Do(large)
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
		response, err = http.DefaultClient.Do(w.newRequest("/safe/x", "", map[string]string{"X-Long": strings.Repeat("x", 5000)}))
		Expect(err).NotTo(HaveOccurred())
		response.Body.Close()
		Expect(response.StatusCode).To(Equal(http.StatusRequestHeaderFieldsTooLarge))
		Expect(w.runs()).To(BeEmpty())
	})
})
