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
	// readBufferBytes is the initial size of the read buffer of a stream.
	readBufferBytes = 16 << 10
	// maxEventBytes limits the read buffer, and so the size of one event.
	maxEventBytes = 1 << 20
)

var (
	eventEnd  = []byte("\n\n")
	doneEvent = []byte("data: [DONE]")
)

// Errors of relaying a response.
var (
	errStreamTruncated     = errors.New("stream ended before its last event")
	errCompletionTruncated = errors.New("completion ended inside its JSON document")
	errCallerGone          = errors.New("caller disconnected")
)

// streamResult is the result of relaying a stream.
type streamResult struct {
	events   int
	complete bool
	err      error
}

// relay writes the complete events of an upstream's stream to w, up to the [DONE]
// event, which it leaves to the calling function: the outcome event goes before it.
func relay(w http.ResponseWriter, stream io.Reader) streamResult {
	controller := http.NewResponseController(w)
	var result streamResult
	buffer := make([]byte, 0, readBufferBytes)
	for {
		if len(buffer) == cap(buffer) {
			if len(buffer) >= maxEventBytes {
				result.err = errTooLarge
				return result
			}
			buffer = append(make([]byte, 0, 2*cap(buffer)), buffer...)
		}
		n, err := stream.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		ready, events, done := completeEvents(buffer)
		if ready > 0 {
			result.events += events
			if _, err := w.Write(buffer[:ready]); err != nil {
				result.err = errCallerGone
				return result
			}
			_ = controller.Flush()
		}
		if done {
			result.complete = true
			return result
		}
		buffer = buffer[:copy(buffer, buffer[ready:])]
		if err != nil {
			result.err = errStreamTruncated
			return result
		}
	}
}

// completeEvents returns the length and number of the complete events at the start
// of the buffer up to the [DONE] event, and whether that event is there.
func completeEvents(buffer []byte) (length, events int, done bool) {
	for {
		end := bytes.Index(buffer[length:], eventEnd)
		if end < 0 {
			return length, events, false
		}
		event := bytes.TrimLeft(buffer[length:length+end], "\n")
		if bytes.HasPrefix(event, doneEvent) {
			return length, events, true
		}
		length += end + len(eventEnd)
		events++
	}
}

// finishStream writes the outcome event of a stream, with an error event before it
// or the [DONE] event after it.
func finishStream(w http.ResponseWriter, refusal *cardamom.Refusal) {
	outcome := cardamom.Served
	if refusal != nil {
		outcome = refusal.Outcome()
		_, _ = fmt.Fprintf(w, "event: error\ndata: %s\n\n", encodeError(refusal))
	}
	_, _ = fmt.Fprintf(w, "event: outcome\ndata: {\"outcome\":%q}\n\n", outcome)
	if refusal == nil {
		_, _ = fmt.Fprintf(w, "%s\n\n", doneEvent)
	}
	_ = http.NewResponseController(w).Flush()
}

// outcomeEventPrefix is the start of the event with a stream's outcome.
var outcomeEventPrefix = []byte("event: outcome\n")

// containsOutcome reports whether one of the complete events is the outcome event.
func containsOutcome(events []byte) bool {
	if bytes.HasPrefix(events, outcomeEventPrefix) {
		return true
	}
	return bytes.Contains(events, append(append([]byte(nil), eventEnd...), outcomeEventPrefix...))
}
