package fakes

import (
	"fmt"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// Token returns the n-th token that a runner generates for a prompt. It
// depends on the whole prompt, so that answers can't be taken for each other's.
func Token(model, prompt string, n int) string {
	return fmt.Sprintf("%08x.%d ", uint32(xxhash.Sum64String(model+"\x00"+prompt)), n)
}

// Content returns the whole text that a runner generates for a prompt.
func Content(model, prompt string, tokens int) string {
	var text strings.Builder
	for n := range tokens {
		text.WriteString(Token(model, prompt, n))
	}
	return text.String()
}
