package reqlog_test

import (
	"bytes"
	"flag"
	"os"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/reqlog"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func TestReqlog(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "story")
}

var _ = Describe("a request's timeline", func() {
	DescribeTable("lists the lines of all instances in order of time",
		func(name, id string) {
			file, err := os.Open("testdata/" + name + ".log")
			Expect(err).NotTo(HaveOccurred())
			defer file.Close()
			lines, skipped, err := reqlog.Read(name, file)
			Expect(err).NotTo(HaveOccurred())
			Expect(skipped).To(Equal(1))
			var out bytes.Buffer
			timeline := reqlog.NewTimeline(id, lines)
			Expect(timeline.Found()).To(BeTrue())
			Expect(timeline.Print(&out)).To(Succeed())
			golden := "testdata/" + name + ".golden"
			if *update {
				Expect(os.WriteFile(golden, out.Bytes(), 0o600)).To(Succeed())
			}
			expected, err := os.ReadFile(golden)
			Expect(err).NotTo(HaveOccurred())
			Expect(out.String()).To(Equal(string(expected)))
		},
		Entry("refused although upstreams were free", "refused", "636b1377022d42b1"),
		Entry("the connection to the upstream broke", "broken", "0a62b0e836138669"),
		Entry("answered late, since it waited for a load of its model", "late", "5d35b4ee3771d503"),
		Entry("refused, since its only upstream names a rate limit", "limited", "5b1f0a77c2d94e63"),
		Entry("refused, since its only upstream asked for a wait", "waits", "5b1f0a77c2d94e63"),
		Entry("refused, since nobody knows the version that began its stream", "version", "5b1f0a77c2d94e63"),
		Entry("refused for a part of its prompt, with the verdict on it", "part", "5b1f0a77c2d94e63"),
	)

	DescribeTable("skips and counts a line of text that is no log line", func(text string) {
		lines, skipped, err := reqlog.Read("x", strings.NewReader(text))
		Expect(err).NotTo(HaveOccurred())
		Expect(lines).To(BeEmpty())
		Expect(skipped).To(Equal(1))
	},
		Entry("words", "panic: something"),
		Entry("an invalid time", "time=yesterday event=a"),
		Entry("an unterminated quote", `time=2026-01-01T00:00:00Z event="a`),
		Entry("no event", "time=2026-01-01T00:00:00Z level=info"),
	)

	It("is not found if no line names the request", func() {
		lines, _, err := reqlog.Read("x", strings.NewReader("time=2026-01-01T00:00:00Z event=started instance=a\n"))
		Expect(err).NotTo(HaveOccurred())
		Expect(reqlog.NewTimeline("r", lines).Found()).To(BeFalse())
	})
})
