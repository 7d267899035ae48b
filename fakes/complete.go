package fakes

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"strconv"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/pause"
)

// poisonWord in a prompt crashes the runner.
const poisonWord = "CRASH-THE-RUNNER"

// defaultTokens is how many tokens are generated if the request names no number.
const defaultTokens = 16

// completionWire is the part of a completion request a runner looks at.
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

func (r *Runner) completion(w http.ResponseWriter, request *http.Request) {
	var wire completionWire
	if err := readJSON(request, &wire); err != nil {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if wire.MaxTokens <= 0 {
		wire.MaxTokens = defaultTokens
	}
	s, ok := r.enter(wire.Model)
	if !ok {
		w.Header().Set("Engine-Not-Run", "1")
		http.Error(w, "model is not loaded", http.StatusNotFound)
		return
	}
	defer r.leave(s)
	ctx, cancel := context.WithCancel(request.Context())
	defer cancel()
	defer context.AfterFunc(s.ended, cancel)()
	select {
	case r.slots <- struct{}{}:
	case <-ctx.Done():
		panic(http.ErrAbortHandler)
	}
	defer func() { <-r.slots }()
	r.begin(s)
	defer r.end(s)
	offset, ok := r.resume(w, request)
	if !ok {
		return
	}
	if key := request.Header.Get("Cardamom-Key"); key != "" && offset == 0 {
		r.side.tell(EventWire{Kind: "run", Key: key, Runner: r.options.ID})
	}
	if strings.Contains(wire.prompt(), poisonWord) && r.options.Crash != nil {
		r.options.Crash()
	}
	r.generate(ctx, w, wire, offset)
}

// resume returns from which token on a stream is generated. A stream can be
// resumed if this run of the runner has begun it.
func (r *Runner) resume(w http.ResponseWriter, request *http.Request) (int, bool) {
	if !r.options.Resumable {
		return 0, true
	}
	w.Header().Set("Engine-Resumable", "1")
	id := request.Header.Get("Cardamom-Request")
	offset, err := strconv.Atoi(request.Header.Get("Engine-Resume-From"))
	r.mu.Lock()
	defer r.mu.Unlock()
	if err != nil {
		r.streams[id] = true
		return 0, true
	}
	if !r.streams[id] {
		w.WriteHeader(http.StatusGone)
		return 0, false
	}
	return offset, true
}

func (r *Runner) enter(model string) (*seated, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s, ok := r.models[model]
	if !ok || !s.wire.Ready {
		return nil, false
	}
	s.waiting++
	return s, true
}

func (r *Runner) begin(s *seated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.waiting--
	s.running++
	if s.running == 1 {
		s.busy = time.Now()
	}
}

func (r *Runner) end(s *seated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.running--
	s.waiting++
	if s.running == 0 {
		go r.side.tell(EventWire{Kind: "busy", Seconds: time.Since(s.busy).Seconds()})
	}
}

func (r *Runner) leave(s *seated) {
	r.mu.Lock()
	defer r.mu.Unlock()
	s.waiting--
}

func (r *Runner) generate(ctx context.Context, w http.ResponseWriter, wire completionWire, offset int) {
	if !pause.For(ctx, r.options.Prefill) {
		panic(http.ErrAbortHandler)
	}
	if !wire.Stream {
		if !pause.For(ctx, time.Duration(wire.MaxTokens-1)*r.options.Interval) {
			panic(http.ErrAbortHandler)
		}
		writeJSON(w, wholeAnswer(wire))
		return
	}
	w.Header().Set("Content-Type", "text/event-stream")
	controller := http.NewResponseController(w)
	prompt := wire.prompt()
	for n := offset; n < wire.MaxTokens; n++ {
		if n > offset && !pause.For(ctx, r.options.Interval) {
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

func wholeAnswer(wire completionWire) map[string]any {
	return map[string]any{
		"object": "chat.completion", "model": wire.Model,
		"choices": []any{map[string]any{
			"index": 0, "finish_reason": "stop",
			"message": map[string]string{"role": "assistant", "content": Content(wire.Model, wire.prompt(), wire.MaxTokens)},
		}},
		"usage": map[string]int{"completion_tokens": wire.MaxTokens},
	}
}
