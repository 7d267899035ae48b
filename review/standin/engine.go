package main

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// engine is a model runner that holds one model and takes no orders.
type engine struct {
	*runner
	model string
	slots slots
}

func newEngine(id, model string, limit, queue int) *engine {
	held := []map[string]any{{"name": model, "version": 1, "adapters": []string{}}}
	return &engine{
		runner: newRunner(id, "muse-models", map[string]any{
			"slots": limit, "models": held, "atHand": map[string]any{"resident": []string{model}, "onDisk": []string{model}},
		}),
		model: model, slots: slots{limit: limit, queue: queue},
	}
}

// serveControl answers the calls that are no requests, and reports whether this was one.
func (e *engine) serveControl(c *link, q *asked) bool {
	switch q.Method + " " + q.RequestURI {
	case "GET /report":
		body, _ := json.Marshal(map[string]any{
			"stage": "hybrid", "models": e.entry["models"], "busy": false, "seq": 0, "queued": 0, "running": 0, "kvUsed": 0, "kvTotal": 257765,
			"handles": 0, "born": e.born, "atHand": e.entry["atHand"], "coming": []string{},
		})
		reply(c, http.StatusOK, string(body))
	case "POST /order":
		log.addf("runner %s refuses the order %s", e.id, q.body)
		reply(c, http.StatusConflict, "{}")
	default:
		return false
	}
	return true
}

// reply answers a call that is no request.
func reply(c *link, status int, body string) {
	fmt.Fprintf(c, "HTTP/1.1 %d %s\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", status, http.StatusText(status), len(body), body)
}

// holds reports whether the runner holds the model of a request.
func (e *engine) holds(q *asked) bool {
	model, _, _ := strings.Cut(q.Header.Get("Model"), "/")
	return model == e.model
}

// stream writes a stream of events, one after each pause, and returns its bytes. It stops if
// the connection ends.
func stream(r *runner, c *link, q *asked, events int, pause time.Duration) ([]byte, bool) {
	text := fmt.Sprintf("HTTP/1.1 200 OK\r\nRequest-Id: %s\r\nServer-Seal: seal.%s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n", q.id, r.id)
	_, _ = io.WriteString(c, text)
	for n := 1; n <= events; n++ {
		if n > 1 && !work(q, pause) {
			return nil, false
		}
		event := fmt.Sprintf("id: %d\ndata: %s piece %d\n\n", n, q.id, n)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", len(event), event)
		text += chunk
		_, _ = io.WriteString(c, chunk)
	}
	_, _ = io.WriteString(c, "0\r\n\r\n")
	log.addf("runner %s answers %s with 200, whole", r.id, q.id)
	return []byte(text + "0\r\n\r\n"), true
}
