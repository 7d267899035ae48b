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

// crashPrompt in a prompt crashes the engine.
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
	s, ok := e.enter(wire.Model)
	if !ok {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer e.leave(s)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(s.ctx, cancel)()
	select {
	case e.slots <- struct{}{}:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-e.slots }()
	e.begin(s)
	defer e.end(s)
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

// resumeOffset returns the index of the first token to generate. A stream can be
// resumed only by the engine process that began it.
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

// enter counts a request as waiting for its model.
func (e *Engine) enter(model string) (*loadedModel, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s, ok := e.models[model]
	if !ok || !s.wire.Ready {
		return nil, false
	}
	s.waiting++
	return s, true
}

// begin counts a waiting request as running.
func (e *Engine) begin(s *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.waiting--
	s.running++
	if s.running == 1 {
		s.busySince = time.Now()
	}
}

// end counts a running request as waiting again, until leave.
func (e *Engine) end(s *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.running--
	s.waiting++
	if s.running == 0 {
		go e.platform.sendEvent(EventWire{Kind: "busy", Seconds: time.Since(s.busySince).Seconds()})
	}
}

func (e *Engine) leave(s *loadedModel) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s.waiting--
}

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
