package host

import (
	"encoding/json"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

// Headers that name who a request is for. organisationHeader is for upstreams only.
const (
	keyHeader          = "Key"
	organisationHeader = "Tenant"
	tokensHeader       = "Token-Count"
)

// Organisation is a customer in the published configuration. Without a rate it has no
// limit.
type Organisation struct {
	Name        string   `json:"name"`
	Keys        []string `json:"apiKeys"`
	Priority    int      `json:"priority"`
	Unit        string   `json:"unit,omitempty"`
	PlainTokens float64  `json:"plainTokens,omitempty"`
	PerSecond   float64  `json:"ratePerS,omitempty"`
	Burst       float64  `json:"burst,omitempty"`
}

// ConfigFor returns the configuration of Config with organisations, so that requests need a
// key, and the route /open/ to the service plain, which needs none.
func ConfigFor(organisations []Organisation, version int, models []string, extra ...map[string]any) []byte {
	open := route("/open/", "idempotent", "plain", false)
	open["anonymous"] = true
	return encodeConfig(organisations, version, models, append([]map[string]any{open}, extra...))
}

// Publication is a configuration that the store had from a time on.
type Publication struct {
	At    time.Time
	Value []byte
}

// Organisations returns the organisations of the configuration.
func (p Publication) Organisations() ([]Organisation, error) {
	var document struct {
		Organisations []Organisation `json:"tenants"`
	}
	err := json.Unmarshal(p.Value, &document)
	return document.Organisations, eris.Wrap(err, "decode configuration")
}

// Publications returns the configurations in the order in which the store had them, also
// those that Restore brought back.
func (s *Store) Publications() []Publication {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.published)
}

// recordPublication records the present configuration. s.mu must be held.
func (s *Store) recordPublication() {
	s.published = append(s.published, Publication{At: time.Now(), Value: s.rows["op/config"].Value})
}

// Organisation returns the name of the organisation for which the upstream got the request,
// empty if it got none.
func (r Run) Organisation() string {
	return strings.Join(r.Header.Values(organisationHeader), ",")
}

// Tokens returns the sum of the tokens that the request states, and whether it states any.
func (r Run) Tokens() (int, bool) {
	prompt, output, ok := strings.Cut(r.Header.Get(tokensHeader), ",")
	first, promptErr := strconv.Atoi(prompt)
	second, outputErr := strconv.Atoi(output)
	return first + second, ok && promptErr == nil && outputErr == nil
}
