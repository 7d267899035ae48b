package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strings"
	"sync"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/coord"
)

// garbledRequests is how many requests meet random bytes before their answers, garbledCallers how
// many at a time.
const (
	garbledRequests = 600
	garbledCallers  = 12
)

// garbling is an upstream that writes random parts of earlier answers before some of its
// answers, and refuses some requests.
type garbling struct {
	mu     sync.Mutex
	random *rand.Rand
	runs   map[string]int
	// misdirects means that some refusals say that the upstream lacks what the request needs.
	misdirects bool
}

// draw returns what is written before an answer, parts of the earlier answers on its connection,
// and whether the request is refused, the connection is closed after it and the answer breaks off.
func (u *garbling) draw(earlier []string) (before string, refused, closes, cut bool) {
	var all strings.Builder
	for range u.random.IntN(3) {
		if len(earlier) == 0 {
			break
		}
		part := earlier[u.random.IntN(len(earlier))]
		if u.random.IntN(2) == 0 {
			part = part[:u.random.IntN(len(part))]
		}
		all.WriteString(part)
	}
	return all.String(), u.random.IntN(2) == 0, u.random.IntN(3) == 0, u.random.IntN(8) == 0
}

// answer returns the answer to a request.
func (u *garbling) answer(id string, refused bool) string {
	named := "Request-Id: " + id + "\r\n"
	switch {
	case refused && u.misdirects && u.random.IntN(3) == 0:
		return "HTTP/1.1 421 Misdirected Request\r\n" + named + "Content-Length: 0\r\n\r\n"
	case refused && u.random.IntN(2) == 0:
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\nContent-Length: 5\r\n\r\nfull\n"
	case refused:
		return "HTTP/1.1 503 Service Unavailable\r\nNot-Run: 1\r\n" + named + "Content-Length: 0\r\n\r\n"
	case u.random.IntN(8) == 0:
		return "HTTP/1.1 500 Internal Server Error\r\n" + named + "Content-Length: 6\r\n\r\nfailed"
	case u.random.IntN(3) == 0:
		return "HTTP/1.1 200 OK\r\n" + named + "Server-Seal: seal\r\nTransfer-Encoding: chunked\r\n\r\n" + fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(wholeAnswer(id)), wholeAnswer(id))
	default:
		return "HTTP/1.1 200 OK\r\nServer-Seal: seal\r\n" + named + fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(wholeAnswer(id)), wholeAnswer(id))
	}
}

// wholeAnswer returns the whole answer to a request, in events, so that it can be a stream.
func wholeAnswer(id string) string {
	return "id: 1\ndata: answer to " + id + "\n\nid: 2\ndata: its end\n\n"
}

func (u *garbling) serve(c net.Conn) {
	defer c.Close()
	reader := bufio.NewReader(c)
	var earlier []string
	for {
		request, err := http.ReadRequest(reader)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		id := request.Header.Get("Request-Id")
		u.mu.Lock()
		before, refused, closes, cut := u.draw(earlier)
		if !refused {
			u.runs[id]++
		}
		answer := u.answer(id, refused)
		earlier = append(earlier, answer)
		if cut {
			answer, closes = answer[:u.random.IntN(len(answer))], true
		}
		u.mu.Unlock()
		if _, err := io.WriteString(c, before+answer); err != nil || closes {
			return
		}
	}
}

// Whatever an upstream writes between its answers, a request that has run was refused, ran twice or
// got another one's answer.
var _ = Describe("requests whose upstream writes parts of earlier answers", func() {
	for path, model := range map[string]string{"/once/x": "", "/stream/x": "m"} {
		It("are refused only if they have not run, run once, and get their own answers: "+path, func() {
			seed := GinkgoRandomSeed()
			w := newFixture(coord.AwaitResult{})
			upstream := &garbling{random: rand.New(rand.NewPCG(uint64(seed), 1)), runs: make(map[string]int), misdirects: model == ""}
			address := listenWith(upstream.serve)
			w.upstreams[0].Address, w.upstreams[1].Address = address, address
			statuses := make(map[int]int)
			var group sync.WaitGroup
			callers := make(chan struct{}, garbledCallers)
			for n := range garbledRequests {
				callers <- struct{}{}
				group.Go(func() {
					defer GinkgoRecover()
					defer func() { <-callers }()
					id := fmt.Sprintf("r-%d", n)
					response, err := http.DefaultClient.Do(w.newRequest(path, model, map[string]string{"Request-Id": id, "Deadline-Ms": "700"}))
					Expect(err).NotTo(HaveOccurred())
					defer response.Body.Close()
					body, broken := io.ReadAll(response.Body)
					upstream.mu.Lock()
					defer upstream.mu.Unlock()
					statuses[response.StatusCode]++
					runs := upstream.runs[id]
					Expect(runs).To(BeNumerically("<=", 1), id)
					switch {
					case broken != nil:
						Expect(wholeAnswer(id)).To(HavePrefix(string(body)))
					case response.StatusCode == http.StatusOK:
						Expect(string(body)).To(Equal(wholeAnswer(id)))
					case response.StatusCode == http.StatusServiceUnavailable:
						Expect(runs).To(BeZero(), id)
					}
				})
			}
			group.Wait()
			Expect(statuses[http.StatusOK]).NotTo(BeZero(), fmt.Sprint(statuses))
			Expect(statuses[http.StatusServiceUnavailable]).NotTo(BeZero(), fmt.Sprint(statuses))
			GinkgoWriter.Println(statuses)
		})
	}
})
