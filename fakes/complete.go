package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/sleep"
)

// crashPrompt is a text that crashes the engine if a prompt contains it.
const crashPrompt = "CRASH-THE-RUNNER"

// defaultTokens is how many tokens are generated if the request has no max_tokens.
const defaultTokens = 16

// completionWire is the part of a completion request that an engine reads.
type completionWire struct {
	Model     string `json:"model"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"`
	Prompt    string `json:"prompt"`
	Messages  []struct {
		Content string `json:"content"`
	} `json:"messages"`
}

func (w completionWire) prompt() string {
	parts := []string{w.Prompt}
	for _, message := range w.Messages {
		parts = append(parts, message.Content)
	}
	return strings.Join(parts, "")
}

func (e *Engine) handleCompletion(w http.ResponseWriter, request *http.Request) {
	var wire completionWire
	if err := readJSON(request, &wire); err != nil {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wire.MaxTokens <= 0 {
		wire.MaxTokens = defaultTokens
	}
	m, ok := e.enter(wire.Model)
	if !ok {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer e.leave(m)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(m.ctx, cancel)()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.slots }()
	e.begin(m)
	defer e.end(m)
	offset, ok := e.resumeOffset(w, request)
	if !ok {
		return
	}
	if key := request.Header.Get("Cardamom-Key"); key != "" && offset == 0 {
		e.platform.sendEvent(EventWire{Kind: "run", Key: key, Upstream: e.options.ID})
	}
	if strings.Contains(wire.prompt(), crashPrompt) && e.options.Crash != nil {
		e.options.Crash()
	}
	e.generate(ctx, w, wire, offset)
}

// resumeOffset returns the index of the first token to generate: 0 for a new
// stream, which it records as resumable. A stream can be resumed only by the
// engine process that began it. If that was another process, resumeOffset answers
// 410 and returns false.
func (e *Engine) resumeOffset(w http.ResponseWriter, request *http.Request) (int, bool) {
	if !e.options.Resumable {
		return 0, true
	}
	w.Header().Set("Engine-Resumable", "1")
	id := request.Header.Get("Cardamom-Request")
	offset, err := strconv.Atoi(request.Header.Get("Engine-Resume-From"))
	e.mu.Lock()
	defer e.mu.Unlock()
	if err != nil {
		e.streams[id] = true
		return 0, true
	}
	if !e.streams[id] {
		w.WriteHeader(http.StatusGone)
		return 0, false
	}
	return offset, true
}

// enter counts a request as waiting for a slot of the engine. It returns false if
// the model is not loaded and ready.
func (e *Engine) enter(model string) (*loadedModel, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m, ok := e.models[model]
	if !ok || !m.wire.Ready {
		return nil, false
	}
	m.waiting++
	return m, true
}

// begin counts a request that has a slot as running instead of waiting.
func (e *Engine) begin(m *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.waiting--
	m.running++
	if m.running == 1 {
		m.busySince = time.Now()
	}
}

// end counts a finished request as waiting again. The deferred leave, which runs
// later, then removes every request from the waiting count, also one that never
// had a slot.
func (e *Engine) end(m *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.running--
	m.waiting++
	if m.running == 0 {
		go e.platform.sendEvent(EventWire{Kind: "busy", Seconds: time.Since(m.busySince).Seconds()})
	}
}

// leave removes a request from the waiting count.
func (e *Engine) leave(m *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	m.waiting--
}

// generate sends the completion, or its events from the offset on if it is streamed.
func (e *Engine) generate(ctx context.Context, w http.ResponseWriter, wire completionWire, offset int) {
	if !sleep.For(ctx, e.options.Prefill) {
		panic(http.ErrAbortHandler)
	}
	if !wire.Stream {
		if !sleep.For(ctx, time.Duration(wire.MaxTokens-1)*e.options.Interval) {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, completionBody(wire))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	prompt := wire.prompt()
	for n := offset; n < wire.MaxTokens; n++ {
		if n > offset && !sleep.For(ctx, e.options.Interval) {
			panic(http.ErrAbortHandler)
		}
		chunk, err := json.Marshal(map[string]any{
			"object": "chat.completion.chunk", "model": wire.Model,
			"choices": []any{map[string]any{"index": 0, "delta": map[string]string{"content": Token(wire.Model, prompt, n)}}},
		})
		if err != nil {
			return
		}
		if _, err := fmt.Fprintf(w, "data: %s\n\n", chunk); err != nil {
			return
		}
		_ = controller.Flush()
	}
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
}

func completionBody(wire completionWire) map[string]any {
	return map[string]any{
		"object": "chat.completion", "model": wire.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": Content(wire.Model, wire.prompt(), wire.MaxTokens)},
		}},
		"usage": map[string]int{"completion_tokens": wire.MaxTokens},
	}
}
