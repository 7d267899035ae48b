package entry

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"
	"testing/iotest"
)

// referenceRelay is a simple version of relay for a stream in memory. It returns
// all complete events before the [DONE] event, and whether the stream has a [DONE]
// event. Blank lines before an event are not part of the event.
func referenceRelay(stream []byte) (relayed []byte, complete bool) {
	rest := stream
	for {
		event, after, found := bytes.Cut(rest, []byte("\n\n"))
		if !found {
			return relayed, false
		}
		if bytes.HasPrefix(bytes.TrimLeft(event, "\n"), []byte("data: [DONE]")) {
			return relayed, true
		}
		relayed = append(append(relayed, event...), "\n\n"...)
		rest = after
	}
}

func FuzzRelay(f *testing.F) {
	f.Add([]byte("data: 1\n\ndata: 2\n\ndata: [DONE]\n\n"))
	f.Add([]byte("data: [DONE]\n\n"))
	f.Add([]byte("data: 1\n\ndata: [DO"))
	f.Add([]byte("\n\n\ndata: [DONE]\n\n"))
	f.Fuzz(func(t *testing.T, stream []byte) {
		for name, reader := range map[string]io.Reader{
			"at once": bytes.NewReader(stream), "byte by byte": iotest.OneByteReader(bytes.NewReader(stream)),
			"in halves": iotest.HalfReader(bytes.NewReader(stream)),
		} {
			recorder := httptest.NewRecorder()
			result := relay(recorder, reader)
			relayed, complete := referenceRelay(stream)
			if result.complete != complete || !bytes.Equal(recorder.Body.Bytes(), relayed) {
				t.Fatalf("%s: complete %t, relayed %q; reference %t, %q", name, result.complete, recorder.Body.Bytes(), complete, relayed)
			}
		}
	})
}
