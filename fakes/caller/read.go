package caller

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"strings"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/fakes"
)

// maxLine is the maximum size in bytes of one line of a stream.
const maxLine = 1 << 20

// chunkWire holds the fields that are read from an event of a stream or from the
// body of any other answer.
type chunkWire struct {
	Choices []struct {
		Delta struct {
			Content string `json:"content"`
		} `json:"delta"`
		Message struct {
			Content string `json:"content"`
		} `json:"message"`
	} `json:"choices"`
	Error struct {
		Type    string `json:"type"`
		Message string `json:"message"`
		Outcome string `json:"outcome"`
	} `json:"error"`
	Outcome string `json:"outcome"`
	Echo    string `json:"echo"`
}

func (c chunkWire) content() string {
	if len(c.Choices) == 0 {
		return ""
	}
	return c.Choices[0].Delta.Content + c.Choices[0].Message.Content
}

// readStream reads a stream to its end and checks its content.
func readStream(body io.Reader, request Request, result *Result, begun time.Time) {
	var text strings.Builder
	done := false
	last := begun
	scanner := bufio.NewScanner(body)
	scanner.Buffer(make([]byte, 4096), maxLine)
	for scanner.Scan() {
		data, ok := bytes.CutPrefix(scanner.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			done = true
			continue
		}
		var chunk chunkWire
		if json.Unmarshal(data, &chunk) != nil {
			continue
		}
		if chunk.Outcome != "" {
			result.Outcome = cardamom.ParseOutcome(chunk.Outcome)
		}
		if chunk.Error.Type != "" {
			result.Reason = chunk.Error.Type
		}
		if content := chunk.content(); content != "" {
			now := time.Now()
			if text.Len() == 0 {
				result.FirstToken = now.Sub(begun)
			} else {
				result.Gaps = append(result.Gaps, now.Sub(last))
			}
			last = now
			text.WriteString(content)
		}
	}
	result.check(text.String(), expectedContent(request))
	result.Complete = result.Complete && done
}

// readBody reads an answer that is not a stream and checks its content.
func readBody(response *http.Response, request Request, result *Result, begun time.Time) {
	body, err := io.ReadAll(response.Body)
	if err != nil {
		result.Outcome = cardamom.OutcomeUnknown
		result.Reason = "cut: " + err.Error()
		return
	}
	result.FirstToken = time.Since(begun)
	var chunk chunkWire
	_ = json.Unmarshal(body, &chunk)
	result.Reason = chunk.Error.Type
	if response.StatusCode >= http.StatusBadRequest {
		return
	}
	if request.Service != "" {
		result.check(chunk.Echo, request.Prompt)
		return
	}
	result.check(chunk.content(), expectedContent(request))
}

func expectedContent(request Request) string {
	return fakes.Content(request.Model, request.Prompt, request.Tokens)
}

// check compares an answer with the expected one. A prefix of the expected answer
// is a truncated answer; anything else is the answer to another request.
func (r *Result) check(got, want string) {
	r.Complete = got == want
	r.WrongContent = !strings.HasPrefix(want, got)
}
