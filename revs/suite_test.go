package revs_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestRevs(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "revs")
}
