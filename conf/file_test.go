package conf_test

import (
	"os"
	"path/filepath"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/conf"
)

var _ = Describe("a settings file", func() {
	It("is read whole", func() {
		path := filepath.Join(GinkgoT().TempDir(), "settings.jsonc")
		Expect(os.WriteFile(path, []byte("{}"), 0o600)).To(Succeed())
		Expect(conf.ReadFile(path)).To(Equal([]byte("{}")))
	})

	It("fails if it never ends", func() {
		_, err := conf.Load("/dev/zero")
		Expect(err).To(MatchError(ContainSubstring("/dev/zero is longer than")))
	})
})
