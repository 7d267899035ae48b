package entry

import (
	"context"
	"errors"
	"net/http"
)

// Headers between an instance and an engine that can resume a stream.
const (
	// ResumableHeader is set if the engine can resume the stream.
	ResumableHeader = "Engine-Resumable"
	// ResumeFromHeader is the number of the first event to send again, counted from
	// 0, of the stream of the request with the same ID.
	ResumeFromHeader = "Engine-Resume-From"
)

// maxResumes limits how often one stream is resumed.
const maxResumes = 3

// resumer requests the rest of a stream from the engine, starting at the event
// with the number offset.
type resumer func(offset int) attemptResult

// relayResumed relays a stream. If the engine supports it, a stream that breaks
// off is resumed after the last event that was relayed whole.
func relayResumed(ctx context.Context, w http.ResponseWriter, response *http.Response, resume resumer) streamResult {
	resumable := response.Header.Get(ResumableHeader) != ""
	result := relay(w, response.Body)
	closeBody(response)
	for n := 0; n < maxResumes && resumable && ctx.Err() == nil && errors.Is(result.err, errStreamTruncated); n++ {
		attempt := resume(result.events)
		if attempt.err != nil {
			continue
		}
		if attempt.response.StatusCode != http.StatusOK {
			closeBody(attempt.response)
			return result
		}
		rest := relay(w, attempt.response.Body)
		closeBody(attempt.response)
		rest.events += result.events
		result = rest
	}
	return result
}
