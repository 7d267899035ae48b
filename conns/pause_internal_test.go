package conns

import (
	_ "embed"
	"encoding/json"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"
)

//go:embed testdata/pauses.json
var pauseScripts []byte

var _ = Describe("the decision whether a peer that takes no bytes pauses or is gone", func() {
	var scripts []struct {
		Name string `json:"name"`
		// Steps are looks at the connection. Unsent, unacknowledged and probing are the
		// letters u, a and p of what there is.
		Steps []struct {
			AtS    float64 `json:"at_s"`
			Is     string  `json:"is"`
			Pauses bool    `json:"pauses"`
			Lost   bool    `json:"lost"`
		} `json:"steps"`
	}
	if err := json.Unmarshal(pauseScripts, &scripts); err != nil {
		panic(err)
	}
	for _, script := range scripts {
		It(script.Name, func() {
			p := &pause{}
			for n, step := range script.Steps {
				state := sendState{}
				for _, letter := range step.Is {
					switch letter {
					case 'u':
						state.unsent = true
					case 'a':
						state.unacknowledged = true
					case 'p':
						state.probing = true
					}
				}
				pauses, lost := p.decide(state, time.Unix(1000, 0).Add(time.Duration(step.AtS*float64(time.Second))))
				Expect(pauses).To(Equal(step.Pauses), "step %d", n+1)
				Expect(lost).To(Equal(step.Lost), "step %d", n+1)
			}
		})
	}
})
