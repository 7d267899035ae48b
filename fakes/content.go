package fakes

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the n-th token that an engine generates for a prompt. It
// depends on the whole prompt, so that a swapped answer is detected.
func Token(model, prompt string, n int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), n)
}

// Content returns the whole text that an engine generates for a prompt.
func Content(model, prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(model, prompt, n))
	}
	return text.String()
}
