package entry

import (
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// statuses are the HTTP statuses of the reasons.
var statuses = map[cardamom.Reason]int{
	cardamom.ReasonBadRequest:    http.StatusBadRequest,
	cardamom.ReasonBadDeadline:   http.StatusBadRequest,
	cardamom.ReasonUnknownModel:  http.StatusNotFound,
	cardamom.ReasonUnknownPath:   http.StatusNotFound,
	cardamom.ReasonBadMethod:     http.StatusMethodNotAllowed,
	cardamom.ReasonTooLarge:      http.StatusRequestEntityTooLarge,
	cardamom.ReasonOverload:      http.StatusTooManyRequests,
	cardamom.ReasonQueueFull:     http.StatusTooManyRequests,
	cardamom.ReasonCallerLimit:   http.StatusTooManyRequests,
	cardamom.ReasonDeadline:      http.StatusGatewayTimeout,
	cardamom.ReasonPoison:        http.StatusUnprocessableEntity,
	cardamom.ReasonKeyReuse:      http.StatusUnprocessableEntity,
	cardamom.ReasonAlreadyRan:    http.StatusConflict,
	cardamom.ReasonInProgress:    http.StatusConflict,
	cardamom.ReasonUpstreamLost:  http.StatusBadGateway,
	cardamom.ReasonUpstreamError: http.StatusBadGateway,
}

// errorWire is the JSON form of a refusal, in the manner of the OpenAI API.
type errorWire struct {
	Error errorBody `json:"error"`
}

type errorBody struct {
	Type    string `json:"type"`
	Message string `json:"message"`
	Outcome string `json:"outcome"`
}

func statusOf(reason cardamom.Reason) int {
	if status, ok := statuses[reason]; ok {
		return status
	}
	return http.StatusServiceUnavailable
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

// writeGrace is how long past its deadline an answer may still be written.
const writeGrace = 500 * time.Millisecond

// limitWrites keeps a caller that does not read from holding its upstream past
// the deadline. The function returned frees the connection for the next request.
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
