package conf_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conf"
)

var update = flag.Bool("update", false, "rewrite the golden files")

var _ = Describe("faulty settings", func() {
	files, err := filepath.Glob("testdata/*.jsonc")
	if err != nil {
		panic(err)
	}
	for _, file := range files {
		It(file+" is rejected with the key and line of each fault", func() {
			body, err := os.ReadFile(file)
			Expect(err).NotTo(HaveOccurred())
			_, err = conf.Parse(filepath.Base(file), body)
			Expect(err).To(BeAssignableToTypeOf(&conf.CheckError{}))
			golden := strings.TrimSuffix(file, ".jsonc") + ".golden"
			if *update {
				Expect(os.WriteFile(golden, []byte(err.Error()+"\n"), 0o644)).To(Succeed())
			}
			want, readErr := os.ReadFile(golden)
			Expect(readErr).NotTo(HaveOccurred())
			Expect(err.Error() + "\n").To(Equal(string(want)))
		})
	}
})

var _ = Describe("the example settings", func() {
	for _, deployment := range []string{"kalliope", "salal"} {
		It("of "+deployment+" are accepted", func() {
			settings, err := conf.Load("../examples/" + deployment + "/cardd.jsonc")
			Expect(err).NotTo(HaveOccurred())
			Expect(settings.ClaimShards()).To(Equal(8))
		})
	}
})
