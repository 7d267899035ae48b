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
	claimRetention = time.Minute
	completionBody = `{"model": "m", "stream": false}`
	streamBody     = `{"model": "m", "stream": true}`
)

var testNow = time.Unix(1000, 0)

// scriptedUpstream responds to each request with the next behaviour in its script,
// a list of the words in ServeHTTP, and repeats the last one.
type scriptedUpstream struct {
	runs   atomic.Int32
	script []string
}

func (u *scriptedUpstream) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	n := int(u.runs.Add(1)) - 1
	switch u.script[min(n, len(u.script)-1)] {
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
	case "unframed", "unframed-cut":
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		body := `{"choices": []}`
		if u.script[min(n, len(u.script)-1)] == "unframed-cut" {
			body = body[:8]
		}
		_, _ = io.WriteString(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"+body)
	case "stream":
		_, _ = fmt.Fprint(w, "data: {\"n\":1}\n\ndata: {\"n\":2}\n\ndata: [DONE]\n\n")
	case "stream-cut":
		_, _ = fmt.Fprint(w, "data: {\"n\":1}\n\ndata: {\"n\"")
		_ = http.NewResponseController(w).Flush()
		panic(http.ErrAbortHandler)
	}
}

func readText(response *http.Response) string {
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

	It("returns the whole response and the outcome served", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"answer"}})
		response := post(completionBody)
		Expect(readText(response)).To(Equal("whole"))
		Expect(outcome(response)).To(Equal("served"))
	})

	It("takes a completion that ends with its connection as whole if its document is", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"unframed"}})
		response := post(completionBody)
		Expect(readText(response)).To(Equal(`{"choices": []}`))
		Expect(outcome(response)).To(Equal("served"))
	})

	It("fails a completion that ends with its connection inside its document", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"unframed-cut"}})
		response := post(completionBody)
		Expect(response.StatusCode).To(Equal(http.StatusUnprocessableEntity))
		Expect(outcome(response)).To(Equal("may-have-run"))
	})

	It("ends a stream with the outcome event and [DONE]", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"stream"}})
		Expect(readText(post(streamBody))).To(HaveSuffix("data: {\"n\":2}\n\nevent: outcome\ndata: {\"outcome\":\"served\"}\n\ndata: [DONE]\n\n"))
	})

	It("does not end a truncated stream with [DONE]", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"stream-cut"}})
		body := readText(post(streamBody))
		Expect(body).NotTo(ContainSubstring("[DONE]"))
		Expect(body).To(HavePrefix("data: {\"n\":1}\n\nevent: error\n"))
		Expect(body).To(HaveSuffix("data: {\"outcome\":\"may-have-run\"}\n\n"))
	})

	It("is retried when the upstream responds that it did not run", func() {
		upstream := &scriptedUpstream{script: []string{"not-run", "answer"}}
		h.useUpstream(upstream)
		Expect(outcome(post(completionBody, "Idempotency-Key", "k"))).To(Equal("served"))
		Expect(upstream.runs.Load()).To(Equal(int32(2)))
	})

	It("is retried after a lost response if it has no key", func() {
		upstream := &scriptedUpstream{script: []string{"cut", "answer"}}
		h.useUpstream(upstream)
		Expect(outcome(post(completionBody))).To(Equal("served"))
		Expect(upstream.runs.Load()).To(Equal(int32(2)))
	})

	It("runs once with a key, and a resend gets the outcome may-have-run", func() {
		upstream := &scriptedUpstream{script: []string{"cut", "answer"}}
		h.useUpstream(upstream)
		Expect(outcome(post(completionBody, "Idempotency-Key", "k"))).To(Equal("may-have-run"))
		Expect(outcome(post(completionBody, "Idempotency-Key", "k"))).To(Equal("may-have-run"))
		Expect(upstream.runs.Load()).To(Equal(int32(1)))
	})

	It("returns the stored response to a resend after success", func() {
		upstream := &scriptedUpstream{script: []string{"answer"}}
		h.useUpstream(upstream)
		Expect(readText(post(completionBody, "Idempotency-Key", "k"))).To(Equal("whole"))
		resent := post(completionBody, "Idempotency-Key", "k")
		Expect(resent.Header.Get("Idempotent-Replayed")).To(Equal("true"))
		Expect(readText(resent)).To(Equal("whole"))
		Expect(upstream.runs.Load()).To(Equal(int32(1)))
	})

	It("refuses a key that was used for another request", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"answer"}})
		post(completionBody, "Idempotency-Key", "k")
		other := post(strings.Replace(completionBody, "false", "0.5", 1), "Idempotency-Key", "k")
		Expect(other.StatusCode).To(Equal(http.StatusBadRequest))
		changed := post(`{"model": "m", "stream": false, "n": 2}`, "Idempotency-Key", "k")
		Expect(changed.StatusCode).To(Equal(http.StatusUnprocessableEntity))
	})

	It("releases its upstream when the caller does not read", func() {
		freed := make(chan struct{})
		h.useUpstream(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			_, _ = io.Copy(io.Discard, r.Body)
			defer close(freed)
			event := "data: " + strings.Repeat("x", 1<<16) + "\n\n"
			for r.Context().Err() == nil {
				if _, err := io.WriteString(w, event); err != nil {
					return
				}
			}
		}))
		post(streamBody, "Cardamom-Deadline-Ms", "300")
		Eventually(freed, "20s").Should(BeClosed())
		Eventually(func() int { _, running := h.controller.Counts(); return running }, "20s").Should(BeZero())
	})

	It("isn't blamed for the death of an upstream that had sent it events", func() {
		h.useUpstream(&scriptedUpstream{script: []string{"stream-cut", "die"}})
		Expect(readText(post(streamBody))).To(ContainSubstring("may-have-run"))
		Expect(h.ledger.Suspects(time.Now())).To(BeEmpty())
		readText(post(streamBody))
		Expect(h.ledger.Suspects(time.Now())).To(HaveLen(1))
	})

	It("is refused after two upstreams died running it", func() {
		upstream := &scriptedUpstream{script: []string{"die"}}
		h.useUpstream(upstream)
		response := post(completionBody)
		Expect(outcome(response)).To(Equal("may-have-run"))
		deaths := upstream.runs.Load()
		Expect(deaths).To(BeNumerically("<=", 2))
		resent := post(completionBody)
		Expect(upstream.runs.Load()).To(BeNumerically("<=", 2))
		Expect(resent.StatusCode).To(BeElementOf(http.StatusUnprocessableEntity, http.StatusBadGateway))
	})
})
