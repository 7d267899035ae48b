package policy_test

import (
	"flag"
	"os"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/policy"
)

var update = flag.Bool("update", false, "rewrite the golden files")

func load(path string) (*policy.Document, error) {
	body, err := os.ReadFile(path)
	Expect(err).NotTo(HaveOccurred())
	return policy.Parse(path, body)
}

var _ = Describe("a profile document", func() {
	It("is rejected with an error that lists every fault", func() {
		_, err := load("testdata/faults.jsonc")
		Expect(err).To(HaveOccurred())
		if *update {
			Expect(os.WriteFile("testdata/faults.golden", []byte(err.Error()+"\n"), 0o644)).To(Succeed())
		}
		want, readErr := os.ReadFile("testdata/faults.golden")
		Expect(readErr).NotTo(HaveOccurred())
		Expect(err.Error() + "\n").To(Equal(string(want)))
	})

	DescribeTable("of an example has the expected numbers of models, adapters and cells",
		func(deployment string, models, adapters, cells int) {
			document, err := load("../examples/" + deployment + "/profiles.jsonc")
			Expect(err).NotTo(HaveOccurred())
			bases := 0
			for _, id := range document.Models() {
				if model, _ := document.Model(id); model.Base() == "" {
					bases++
				}
			}
			Expect(bases).To(Equal(models))
			Expect(len(document.Models()) - bases).To(Equal(adapters))
			total := 0
			for _, service := range document.Services() {
				total += len(service.Cells())
			}
			Expect(total).To(Equal(cells))
		},
		Entry("Kalliope", "kalliope", 60, 95, 3),
		Entry("Salal", "salal", 20, 40, 4),
	)

	It("gives quotas that add up to a model's replicas", func() {
		document, err := load("../examples/kalliope/profiles.jsonc")
		Expect(err).NotTo(HaveOccurred())
		for _, id := range document.Models() {
			model, _ := document.Model(id)
			total := 0
			for _, cell := range model.Service().Cells() {
				total += model.Quota(cell)
			}
			Expect(total).To(Equal(model.Profile().MaxReplicas()), string(id))
		}
	})

	It("places an adapter only in cells of its base", func() {
		document, err := load("../examples/salal/profiles.jsonc")
		Expect(err).NotTo(HaveOccurred())
		for _, id := range document.Models() {
			model, _ := document.Model(id)
			if model.Base() == "" {
				continue
			}
			base, _ := document.Model(model.Base())
			Expect(base.Cells()).To(ContainElements(model.Cells()), string(id))
		}
	})

	It("divides the weight store's load streams among the cells", func() {
		document, err := load("../examples/kalliope/profiles.jsonc")
		Expect(err).NotTo(HaveOccurred())
		service, ok := document.Service(cardamom.ServiceID("muse-models"))
		Expect(ok).To(BeTrue())
		total := 0
		for _, cell := range service.Cells() {
			total += service.LoadStreams(cell)
		}
		Expect(total).To(Equal(4))
	})
})
