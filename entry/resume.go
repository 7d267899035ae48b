package entry

import (
	"context"
	"errors"
	"net/http"
)

// Headers between an instance and an engine that can resume a stream.
const (
	// ResumableHeader tells that the engine can resume the stream.
	ResumableHeader = "Engine-Resumable"
	// ResumeFromHeader asks for the stream of the same request identity from the
	// event with that number on.
	ResumeFromHeader = "Engine-Resume-From"
)

// maxResumes bounds how often one stream is resumed.
const maxResumes = 3

// resumer asks the engine for the rest of a stream.
type resumer func(offset int) tried

// relayResumed relays a stream; one that breaks off is resumed after the last
// whole event that was passed on, if its engine can.
func relayResumed(ctx context.Context, w http.ResponseWriter, response *http.Response, again resumer) streamResult {
	resumable := response.Header.Get(ResumableHeader) != ""
	result := relay(w, response.Body)
	drop(response)
	for n := 0; n < maxResumes && resumable && ctx.Err() == nil && errors.Is(result.err, errStreamCut); n++ {
		next := again(result.events)
		if next.err != nil {
			continue
		}
		if next.response.StatusCode != http.StatusOK {
			drop(next.response)
			return result
		}
		rest := relay(w, next.response.Body)
		drop(next.response)
		rest.events += result.events
		result = rest
	}
	return result
}
