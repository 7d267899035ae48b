package front_test

import (
	"encoding/json"
	"os"
	"regexp"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"cardamomcourse.example/cardamom/front"
)

// templateFields are the fields that the template of the settings names, as JSON.
var templateFields = map[string]string{
	"nodeName": `"front-1"`, "zone": `"x"`, "ip": `"127.0.0.1"`, "internalPorts.0": "7384", "seedNodes": `["127.0.0.1:7383"]`,
	"limits.memoryMb": "284", "limits.cpuShare": "0.4", "limits.linkMbps": "1000.0", "platform.address": `"127.0.0.1:7390"`,
	"listen.front": `"127.0.0.1:7380"`, "listen.ready": `"127.0.0.1:7381"`, "listen.directory": `"127.0.0.1:7382"`, "listen.control": `"127.0.0.1:7383"`,
	"bounds.leaseMs": "3000", "bounds.fencingEnforced": "true", "bounds.graceS": "8", "bounds.configApplyMs": "2000", "bounds.drainMs": "2000",
	"bounds.retryBudgetRatio": "0.2", "bounds.budgetWindowS": "10", "bounds.retryBudgetSlack": "56",
}

var (
	templateSection     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	templatePlaceholder = regexp.MustCompile(`\{\{([a-zA-Z0-9.]+)(\|json)?\}\}`)
)

// fillIn fills in the placeholders of a text, those without a value with the word for none.
func fillIn(text, none string, fields map[string]string) string {
	return templatePlaceholder.ReplaceAllStringFunc(text, func(match string) string {
		parts := templatePlaceholder.FindStringSubmatch(match)
		value, ok := fields[parts[1]]
		switch {
		case !ok:
			return none
		case parts[2] != "":
			return value
		default:
			var plain string
			if json.Unmarshal([]byte(value), &plain) == nil {
				return plain
			}
			return strings.TrimSpace(value)
		}
	})
}

// Instances did not start where the template was filled in without its sections.
var _ = Describe("the template of the settings", func() {
	read := func() string {
		text, err := os.ReadFile("../deploy/cardfront.jsonc.tmpl")
		Expect(err).NotTo(HaveOccurred())
		return string(text)
	}
	parse := func(text string) *front.Settings {
		settings, err := front.Parse("template", []byte(text))
		Expect(err).NotTo(HaveOccurred(), text)
		return settings
	}

	It("is valid if a section is left out", func() {
		text := templateSection.ReplaceAllString(read(), "")
		Expect(parse(fillIn(text, "", templateFields)).KeyMaxAge()).To(BeZero())
	})

	It("is valid if a section is rendered", func() {
		fields := map[string]string{"bounds.revokeMs": "5000"}
		for name, value := range templateFields {
			fields[name] = value
		}
		text := templateSection.ReplaceAllString(read(), "$2")
		Expect(parse(fillIn(text, "", fields)).KeyMaxAge()).To(Equal(5 * time.Second))
	})

	It("is valid if sections aren't known and missing values are null", func() {
		Expect(parse(fillIn(read(), "null", templateFields)).KeyMaxAge()).To(BeZero())
	})
})
