package entry

import (
	"bytes"
	"errors"
	"fmt"
	"io"
	"net/http"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// streamBuffer is the size in bytes of one read of a stream.
	streamBuffer = 16 << 10
	// maxEvent is the greatest size in bytes of one event of a stream.
	maxEvent = 1 << 20
)

var (
	eventEnd = []byte("\n\n")
	lastData = []byte("data: [DONE]")
)

// Errors of a stream.
var (
	errStreamCut  = errors.New("stream ended before its last event")
	errCallerGone = errors.New("caller went away")
)

// streamResult is what was relayed of a stream.
type streamResult struct {
	events int
	whole  bool
	err    error
}

// relay passes whole events of an upstream's stream to the caller until the
// last one. The closing event with the outcome is the caller's to write.
func relay(w http.ResponseWriter, body io.Reader) streamResult {
	controller := http.NewResponseController(w)
	var result streamResult
	buffer := make([]byte, 0, streamBuffer)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEvent {
				result.err = errTooLong
				return result
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := body.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		ready, events, done := wholeEvents(buffer)
		if ready > 0 {
			result.events += events
			if _, err := w.Write(buffer[:ready]); err != nil {
				result.err = errCallerGone
				return result
			}
			_ = controller.Flush()
		}
		if done {
			result.whole = true
			return result
		}
		buffer = buffer[:copy(buffer, buffer[ready:])]
		if err != nil {
			result.err = errStreamCut
			return result
		}
	}
}

// wholeEvents returns the length and number of the whole events at the start of
// the buffer, up to the last event of a stream, and whether that is there.
func wholeEvents(buffer []byte) (length, events int, done bool) {
	for {
		end := bytes.Index(buffer[length:], eventEnd)
		if end < 0 {
			return length, events, false
		}
		event := bytes.TrimLeft(buffer[length:length+end], "\n")
		if bytes.HasPrefix(event, lastData) {
			return length, events, true
		}
		length += end + len(eventEnd)
		events++
	}
}

// finishStream writes the closing events of a stream.
func finishStream(w http.ResponseWriter, refusal *cardamom.Refusal) {
	outcome := cardamom.Served
	if refusal != nil {
		outcome = refusal.Outcome()
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", encodeError(refusal))
	}
	_, _ = fmt.Fprintf(w, "event: outcome\ndata: {\"outcome\":%q}\n\n", outcome)
	if refusal == nil {
		_, _ = fmt.Fprintf(w, "%s\n\n", lastData)
	}
	_ = http.NewResponseController(w).Flush()
}

// outcomeEvent starts the event that carries a stream's outcome.
var outcomeEvent = []byte("event: outcome\n")

// containsOutcome tells whether whole events include one with the outcome.
func containsOutcome(events []byte) bool {
	if bytes.HasPrefix(events, outcomeEvent) {
		return true
	}
	return bytes.Contains(events, append(append([]byte(nil), eventEnd...), outcomeEvent...))
}
