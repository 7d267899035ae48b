package main

import (
	"bytes"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

func TestCommand(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "cardd")
}

var _ = Describe("the first command of the README", func() {
	It("shows cold and warm models being served", func() {
		var out bytes.Buffer
		command := newCommand()
		command.SetOut(&out)
		command.SetArgs([]string{"dev"})
		Expect(command.Execute()).To(Succeed())
		Expect(out.String()).To(ContainSubstring("loads, as the engines saw them"))
		Expect(out.String()).To(MatchRegexp(`writer +1`))
	})
})
