package entry_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	keepClaims = time.Minute
	ask        = `{"model": "m", "stream": false}`
	askStream  = `{"model": "m", "stream": true}`
)

var testNow = time.Unix(1000, 0)

// flaky answers as its script says, one word for each request.
type flaky struct {
	runs   atomic.Int32
	script []string
}

func (f *flaky) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := int(f.runs.Add(1)) - 1
	switch f.script[min(n, len(f.script)-1)] {
	case "answer":
		_, _ = io.WriteString(w, "whole")
	case "not-run":
		w.Header().Set("Engine-Not-Run", "1")
		w.WriteHeader(http.StatusServiceUnavailable)
	case "die":
		panic(http.ErrAbortHandler)
	case "cut":
		w.Header().Set("Content-Length", "100")
		_, _ = io.WriteString(w, "half")
	case "stream":
		_, _ = fmt.Fprint(w, "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n")
	case "stream-cut":
		_, _ = fmt.Fprint(w, "data: {\"n\":1}\n\ndata: {\"n\"")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func text(response *http.Response) string {
	body, err := io.ReadAll(response.Body)
	Expect(err).NotTo(HaveOccurred())
	return string(body)
}

var _ = Describe("a served request", func() {
	var h *harness
	BeforeEach(func() { h = newHarness() })

	post := func(body string, header ...string) *http.Response {
		return h.do(http.MethodPost, "/v1/chat/completions", body, header...)
	}
	outcome := func(response *http.Response) string { return response.Header.Get(cardamom.OutcomeHeader) }

	It("carries the whole answer and the outcome served", func() {
		h.serve(&flaky{script: []string{"answer"}})
		response := post(ask)
		Expect(text(response)).To(Equal("whole"))
		Expect(outcome(response)).To(Equal("served"))
	})

	It("ends a stream with its outcome and its last event", func() {
		h.serve(&flaky{script: []string{"stream"}})
		Expect(text(post(askStream))).To(HaveSuffix("data: {\"n\":2}\n\nevent: outcome\ndata: {\"outcome\":\"served\"}\n\ndata: [DONE]\n\n"))
	})

	It("never makes a cut stream look finished", func() {
		h.serve(&flaky{script: []string{"stream-cut"}})
		body := text(post(askStream))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(HavePrefix("data: {\"n\":1}\n\nevent: error\n"))
		Expect(body).To(HaveSuffix("data: {\"outcome\":\"may-have-run\"}\n\n"))
	})

	It("is tried again when the upstream proves it did not run", func() {
		upstream := &flaky{script: []string{"not-run", "answer"}}
		h.serve(upstream)
		Expect(outcome(post(ask, "Idempotency-Key", "k"))).To(Equal("served"))
		Expect(upstream.runs.Load()).To(Equal(int32(2)))
	})

	It("is tried again after a lost answer only without a key", func() {
		upstream := &flaky{script: []string{"cut", "answer"}}
		h.serve(upstream)
		Expect(outcome(post(ask))).To(Equal("served"))
		Expect(upstream.runs.Load()).To(Equal(int32(2)))
	})

	It("runs once with a key, and the resend learns that it may have run", func() {
		upstream := &flaky{script: []string{"cut", "answer"}}
		h.serve(upstream)
		Expect(outcome(post(ask, "Idempotency-Key", "k"))).To(Equal("may-have-run"))
		Expect(outcome(post(ask, "Idempotency-Key", "k"))).To(Equal("may-have-run"))
		Expect(upstream.runs.Load()).To(Equal(int32(1)))
	})

	It("gives a resend after success the kept result", func() {
		upstream := &flaky{script: []string{"answer"}}
		h.serve(upstream)
		Expect(text(post(ask, "Idempotency-Key", "k"))).To(Equal("whole"))
		again := post(ask, "Idempotency-Key", "k")
		Expect(again.Header.Get("Idempotent-Replayed")).To(Equal("true"))
		Expect(text(again)).To(Equal("whole"))
		Expect(upstream.runs.Load()).To(Equal(int32(1)))
	})

	It("refuses a key that was used for another request", func() {
		h.serve(&flaky{script: []string{"answer"}})
		post(ask, "Idempotency-Key", "k")
		other := post(strings.Replace(ask, "false", "0.5", 1), "Idempotency-Key", "k")
		Expect(other.StatusCode).To(Equal(http.StatusBadRequest))
		changed := post(`{"model": "m", "stream": false, "n": 2}`, "Idempotency-Key", "k")
		Expect(changed.StatusCode).To(Equal(http.StatusUnprocessableEntity))
	})

	It("frees its upstream when the caller does not read", func() {
		freed := make(chan struct{})
		h.serve(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			defer close(freed)
			event := "data: " + strings.Repeat("x", 1<<16) + "\n\n"
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, event); err != nil {
					return
				}
			}
		}))
		post(askStream, "Cardamom-Deadline-Ms", "300")
		Eventually(freed, "20s").Should(BeClosed())
		Eventually(func() int { _, running := h.desk.Waiting(); return running }, "20s").Should(BeZero())
	})

	It("is refused after its second upstream died", func() {
		upstream := &flaky{script: []string{"die"}}
		h.serve(upstream)
		response := post(ask)
		Expect(outcome(response)).To(Equal("may-have-run"))
		deaths := upstream.runs.Load()
		Expect(deaths).To(BeNumerically("<=", 2))
		again := post(ask)
		Expect(upstream.runs.Load()).To(BeNumerically("<=", 2))
		Expect(again.StatusCode).To(BeElementOf(http.StatusUnprocessableEntity, http.StatusBadGateway))
	})
})
