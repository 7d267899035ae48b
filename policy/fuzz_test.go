package policy_test

import (
	"os"
	"testing"

	"cardamomcourse.example/cardamom/policy"
)

func FuzzParse(f *testing.F) {
	for _, path := range []string{"testdata/faults.jsonc", "../examples/small/profiles.jsonc"} {
		body, err := os.ReadFile(path)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(body)
	}
	f.Fuzz(func(t *testing.T, body []byte) {
		document, err := policy.Parse("fuzzed", body)
		if (document == nil) != (err != nil) {
			t.Fatalf("document %v with error %v", document != nil, err)
		}
		if err != nil && err.Error() == "" {
			t.Fatal("error without a message")
		}
	})
}
