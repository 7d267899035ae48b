package hold_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestHold(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "hold")
}
