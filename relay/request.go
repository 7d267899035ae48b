package relay

import (
	"errors"
	"net/http"
	"os"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/memory"
)

// unreadBodyTime bounds the time for which the rest of a refused body is read. Many clients
// read no response before they have sent their body.
const unreadBodyTime = 500 * time.Millisecond

// headerBytes returns the approximate size of a request's line and headers as
// sent.
func headerBytes(r *http.Request) int {
	size := len(r.Method) + len(r.RequestURI) + len(r.Host)
	for name, values := range r.Header {
		for _, value := range values {
			size += len(name) + len(value)
		}
	}
	return size
}

// rawPath returns the request's path without any decoding or cleaning.
func rawPath(r *http.Request) string {
	if !strings.HasPrefix(r.RequestURI, "/") {
		return r.URL.EscapedPath()
	}
	path, _, _ := strings.Cut(r.RequestURI, "?")
	return path
}

// readBody reads the whole body, so that it can be sent again, and reports
// whether it succeeded.
func (x *exchange) readBody() bool {
	if x.r.ContentLength == 0 {
		return true
	}
	limit := int64(defaultBodyBytes)
	if configured := x.catalog.Limits().BodyBytes; configured > 0 {
		limit = configured
	}
	if x.r.ContentLength > limit {
		x.closeAfter()
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
		return false
	}
	controller := http.NewResponseController(x.w)
	// Errors of deadlines are ignored: a writer without deadlines has no connection to bound.
	interrupt := func() { _ = controller.SetReadDeadline(time.Unix(1, 0)) }
	x.bodyCharge = x.server.Memory.Open(x.arrived, interrupt)
	progress := func() { _ = controller.SetReadDeadline(x.bodyDeadline(time.Now())) }
	progress()
	body, err := memory.ReadAll(http.MaxBytesReader(x.w, x.r.Body, limit), x.r.ContentLength, x.bodyCharge, time.Now, progress)
	if whole := x.bodyCharge.Complete(); !whole || err != nil {
		x.refuseBody(err, !whole)
		return false
	}
	_ = controller.SetReadDeadline(time.Time{})
	x.body = body
	return true
}

// bodyDeadline returns until when the next part of the body has to arrive.
func (x *exchange) bodyDeadline(now time.Time) time.Time {
	end := x.deadline()
	if stall := x.server.BodyStall; stall > 0 && now.Add(stall).Before(end) {
		return now.Add(stall)
	}
	return end
}

// refuseBody answers a request whose body was not read to its end.
func (x *exchange) refuseBody(err error, shed bool) {
	x.bodyCharge.Release()
	var tooLarge *http.MaxBytesError
	switch {
	case shed || errors.Is(err, memory.ErrFull):
		x.closeAfter()
		x.refuse("memory_pressure", defaultRetryDelay)
	case errors.As(err, &tooLarge):
		x.closeAfter()
		x.fail(http.StatusRequestEntityTooLarge, "body_too_large")
	case errors.Is(err, os.ErrDeadlineExceeded):
		x.closeAfter()
		x.refuse("body_stalled", defaultRetryDelay)
	default:
		x.fail(http.StatusBadRequest, "body_cut")
	}
}

// closeAfter makes the response the last one on its connection, and bounds the time for which
// net/http waits for the rest of the body before it writes the response.
func (x *exchange) closeAfter() {
	x.w.Header().Set("Connection", "close")
	_ = http.NewResponseController(x.w).SetReadDeadline(time.Now().Add(unreadBodyTime))
}
