package framed_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
	"google.golang.org/protobuf/proto"

	"cardamomcourse.example/cardamom/framed"
	"cardamomcourse.example/cardamom/syncpb"
)

func TestFramed(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "framed")
}

// serveReply answers each call with the header lines and a body, and closes the
// connection.
func serveReply(header string, body []byte) string {
	return serveText(fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Type: application/protobuf\r\n%s\r\n%s", header, body))
}

// serveText answers each call with a text, byte by byte as given, and closes the connection.
func serveText(text string) string {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		connection, _, err := w.(http.Hijacker).Hijack()
		if err != nil {
			return
		}
		defer connection.Close()
		_, _ = io.WriteString(connection, text)
	}))
	DeferCleanup(server.Close)
	return server.URL
}

var _ = Describe("a reply of another instance", func() {
	// The first field alone, as if the connection had ended after it.
	first, err := proto.Marshal(&syncpb.ExchangeReply{Coordinates: true})
	if err != nil {
		panic(err)
	}
	whole, err := proto.Marshal(&syncpb.ExchangeReply{Coordinates: true, Tenure: 7, Upstreams: []*syncpb.Upstream{{Id: "i-1"}}})
	if err != nil {
		panic(err)
	}
	exchange := func(url string) (*syncpb.ExchangeReply, error) {
		client := syncpb.NewSyncProtobufClient(url, &http.Client{Transport: framed.New(framed.Limit(&http.Transport{}, 1<<20))})
		return client.Exchange(context.Background(), &syncpb.ExchangeRequest{})
	}

	It("is read whole", func() {
		reply, err := exchange(serveReply(fmt.Sprintf("Content-Length: %d\r\n", len(whole)), whole))
		Expect(err).NotTo(HaveOccurred())
		Expect(reply.GetUpstreams()).To(HaveLen(1))
	})

	It("fails if it is shorter than its length", func() {
		_, err := exchange(serveReply(fmt.Sprintf("Content-Length: %d\r\n", len(whole)), first))
		Expect(err).To(HaveOccurred())
	})

	It("fails if the name of a field in its head holds a blank", func() {
		_, err := exchange(serveReply(fmt.Sprintf("X Trouble: 1\r\nContent-Length: %d\r\n", len(whole)), whole))
		Expect(err).To(MatchError(ContainSubstring(framed.ErrInvalidHead.Error())))
	})

	It("fails if the name of a field in its head holds a control byte", func() {
		_, err := exchange(serveReply(fmt.Sprintf("X\x00Trouble: 1\r\nContent-Length: %d\r\n", len(whole)), whole))
		Expect(err).To(HaveOccurred())
	})

	It("fails if its status is 000", func() {
		_, err := exchange(serveText(fmt.Sprintf("HTTP/1.1 000 Trouble\r\nContent-Type: application/protobuf\r\nContent-Length: %d\r\n\r\n%s", len(whole), whole)))
		Expect(err).To(HaveOccurred())
	})

	It("fails if it ends with its connection, between two fields", func() {
		_, err := exchange(serveReply("", first))
		Expect(err).To(MatchError(ContainSubstring(framed.ErrUnframed.Error())))
	})
})
