package proof_test

import (
	"bufio"
	"encoding/json"
	"os"
	"path/filepath"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/fakes/fleet"
)

// spanWire is the part of an exported span that the spec reads.
type spanWire struct {
	Name        string
	SpanContext struct{ TraceID, SpanID string }
	Parent      struct{ SpanID string }
}

var _ = Describe("a trace", func() {
	It("continues the caller's trace and has a span for each hop", func() {
		path := filepath.Join(GinkgoT().TempDir(), "spans.json")
		s := startSiteWith("deployment.jsonc", map[string]any{"trace": map[string]any{"file": path, "share": 1}})
		r := request("solo-1")
		r.Traceparent = "00-0123456789abcdef0123456789abcdef-0123456789abcdef-01"
		outside := s.instanceWithoutCellOf("solo-1")
		result, _ := s.caller.SendTo(s.ctx, s.Address(outside), 0, r, time.Now())
		Expect(result.Complete).To(BeTrue(), result.Reason)
		for _, instance := range s.deployment.Instances() {
			Expect(s.Terminate(instance.ID)).To(Succeed())
		}
		for _, instance := range s.deployment.Instances() {
			process, _ := s.Process(instance.ID)
			Eventually(process.Done(), conditionTimeout).Should(BeClosed())
		}
		spans := readSpans(path, "0123456789abcdef0123456789abcdef")
		var names []string
		for _, span := range spans {
			names = append(names, span.Name)
		}
		Expect(names).To(ContainElements("entry completion", "forward", "queue"))
		Expect(names).To(ContainElement("try"))
		parents := make(map[string]bool)
		for _, span := range spans {
			parents[span.Parent.SpanID] = true
		}
		Expect(parents).To(HaveKey("0123456789abcdef"))
	})
})

// instanceWithoutCellOf returns an instance in another data centre than the model's
// first cell, after waiting until it does not follow that cell.
func (s *site) instanceWithoutCellOf(model string) string {
	modelCell := s.cellOf(model)
	var outside fleet.ProcessSpec
	for _, instance := range s.deployment.Instances() {
		if modelCell != "cell/llm/"+instance.DataCentre+"/0" {
			outside = instance
		}
	}
	Expect(s.Await(s.ctx, conditionTimeout, outside.ID+" does not follow the cell", func() bool {
		var now status
		if s.Status(outside.ID, &now) != nil {
			return false
		}
		for _, cell := range now.Cells {
			if "cell/"+cell.Cell == modelCell {
				return false
			}
		}
		return true
	})).To(Succeed())
	return outside.ID
}

func readSpans(path, trace string) []spanWire {
	file, err := os.Open(path)
	Expect(err).NotTo(HaveOccurred())
	defer file.Close()
	var spans []spanWire
	scanner := bufio.NewScanner(file)
	scanner.Buffer(nil, 1<<20)
	for scanner.Scan() {
		var span spanWire
		if json.Unmarshal(scanner.Bytes(), &span) == nil && span.SpanContext.TraceID == trace {
			spans = append(spans, span)
		}
	}
	return spans
}
