package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// errorWire is the JSON form of a refusal, like an error of the OpenAI API.
type errorWire struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

// statusOf returns the HTTP status for a reason.
func statusOf(reason cardamom.Reason) int {
	switch reason {
	case cardamom.ReasonBadRequest, cardamom.ReasonBadDeadline:
		return http.StatusBadRequest
	case cardamom.ReasonUnknownModel, cardamom.ReasonUnknownPath:
		return http.StatusNotFound
	case cardamom.ReasonBadMethod:
		return http.StatusMethodNotAllowed
	case cardamom.ReasonTooLarge:
		return http.StatusRequestEntityTooLarge
	case cardamom.ReasonOverload, cardamom.ReasonQueueFull, cardamom.ReasonCallerLimit:
		return http.StatusTooManyRequests
	case cardamom.ReasonDeadline:
		return http.StatusGatewayTimeout
	case cardamom.ReasonPoison, cardamom.ReasonKeyReuse:
		return http.StatusUnprocessableEntity
	case cardamom.ReasonAlreadyRan, cardamom.ReasonInProgress:
		return http.StatusConflict
	case cardamom.ReasonUpstreamLost, cardamom.ReasonUpstreamError:
		return http.StatusBadGateway
	default:
		return http.StatusServiceUnavailable
	}
}

// refuse writes a refusal as the whole response.
func refuse(w http.ResponseWriter, refusal *cardamom.Refusal) {
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header.Set(cardamom.OutcomeHeader, refusal.Outcome().String())
	if wait := refusal.RetryAfter(); wait > 0 {
		seconds := (wait + time.Second - 1) / time.Second
		header.Set("Retry-After", strconv.FormatInt(int64(seconds), 10))
	}
	w.WriteHeader(statusOf(refusal.Reason()))
	_, _ = w.Write(append(encodeError(refusal), '\n'))
}

func encodeError(refusal *cardamom.Refusal) []byte {
	body, err := json.Marshal(errorWire{Error: errorBody{
		Type: string(refusal.Reason()), Message: refusal.Detail(), Outcome: refusal.Outcome().String(),
	}})
	if err != nil {
		return []byte("{}")
	}
	return body
}

// writeGrace is how long after the deadline a response may still be written.
const writeGrace = 500 * time.Millisecond

// limitWrites sets a write deadline, so that a caller that does not read can't
// occupy its upstream past the request's deadline. The returned function clears it
// for the next request on the connection.
func limitWrites(w http.ResponseWriter, deadline time.Time) func() {
	controller := http.NewResponseController(w)
	_ = controller.SetWriteDeadline(deadline.Add(writeGrace))
	return func() { _ = controller.SetWriteDeadline(time.Time{}) }
}

func writeJSON(w http.ResponseWriter, status int, value any) {
	body, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
}
