package cells_test

import (
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCells(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cells")
}
