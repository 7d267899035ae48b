package logs_test

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/logs"
)

func TestLogs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "logs")
}

// blockedWriter is a writer whose Write blocks until release is closed.
type blockedWriter struct {
	mu      sync.Mutex
	release chan struct{}
	written bytes.Buffer
}

func (s *blockedWriter) Write(line []byte) (int, error) {
	<-s.release
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.written.Write(line)
}

var _ = Describe("the bounded writer", func() {
	It("does not block while its output is blocked, and counts the lines it drops", func() {
		out := &blockedWriter{release: make(chan struct{})}
		bounded := logs.NewBoundedWriter(out)
		logger := logs.New(bounded, "x", "info")
		for n := range 5000 {
			logger.Info("line", "n", n)
		}
		Expect(bounded.Dropped()).To(BeNumerically(">", 2000))
		close(out.release)
		bounded.Flush(10 * time.Second)
		text := out.written.String()
		Expect(text).To(ContainSubstring("event=line n=0"))
		Expect(text).To(ContainSubstring("event=lines_dropped count="))
		Expect(strings.Count(text, "\n")).To(BeNumerically("<", 3000))
	})
})
