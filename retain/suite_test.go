package retain_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRetain(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "keep")
}
