package entry

import (
	"bytes"
	"io"
	"net/http/httptest"
	"testing"
	"testing/iotest"
)

// naiveRelay finds what a whole stream lets pass: all complete events before
// the last one, and whether that came. Blank lines before an event are no part
// of what it says.
func naiveRelay(stream []byte) (passed []byte, whole bool) {
	rest := stream
	for {
		event, after, found := bytes.Cut(rest, []byte("\n\n"))
		if !found {
			return passed, false
		}
		if bytes.HasPrefix(bytes.TrimLeft(event, "\n"), []byte("data: [DONE]")) {
			return passed, true
		}
		passed = append(append(passed, event...), "\n\n"...)
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
			passed, whole := naiveRelay(stream)
			if result.whole != whole || !bytes.Equal(recorder.Body.Bytes(), passed) {
				t.Fatalf("%s: whole %t, passed %q; naive %t, %q", name, result.whole, recorder.Body.Bytes(), whole, passed)
			}
		}
	})
}
