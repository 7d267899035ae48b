package site

import "slices"

// Organisation is a customer whose callers name it by one of its keys.
type Organisation struct {
	name        string
	priority    int
	hasPriority bool
	quota       Quota
}

// NewOrganisation returns an organisation without a priority of its own.
func NewOrganisation(name string, quota Quota) *Organisation {
	return &Organisation{name: name, quota: quota}
}

// WithPriority returns a copy whose priority goes before that of routes; 0 is served first.
func (o *Organisation) WithPriority(priority int) *Organisation {
	c := *o
	c.priority, c.hasPriority = priority, true
	return &c
}

// Name returns the name that upstreams get.
func (o *Organisation) Name() string { return o.name }

// Priority returns the organisation's priority and whether it has one.
func (o *Organisation) Priority() (int, bool) { return o.priority, o.hasPriority }

// Quota returns what its requests may count in a time.
func (o *Organisation) Quota() Quota { return o.quota }

// QuotaUnit is what a quota counts.
type QuotaUnit uint8

// The units of a quota.
const (
	// Requests counts each request as 1.
	Requests QuotaUnit = iota
	// Tokens counts the tokens of a request's prompt and the most of its output.
	Tokens
)

// Quota bounds the requests of an organisation at all instances together. The zero value
// sets no limit.
type Quota struct {
	Unit QuotaUnit
	// PlainTokens is what a request without a number of tokens counts.
	PlainTokens float64
	// PerSecond is the rate, 0 for no limit, and Burst what may be used at once after a
	// time without requests.
	PerSecond float64
	Burst     float64
}

// Limited reports whether the quota sets a limit.
func (q Quota) Limited() bool { return q.PerSecond > 0 }

// Amount returns what a request with so many tokens counts. stated means that the
// request states them.
func (q Quota) Amount(tokens int, stated bool) float64 {
	switch {
	case q.Unit == Requests:
		return 1
	case stated:
		return float64(max(tokens, 0))
	default:
		return q.PlainTokens
	}
}

// Organisations maps keys to the organisations that hold them.
type Organisations struct {
	holders map[string]*Organisation
	names   map[string]bool
	list    []*Organisation
}

// NewOrganisations returns an empty set.
func NewOrganisations() *Organisations {
	return &Organisations{holders: make(map[string]*Organisation), names: make(map[string]bool)}
}

// Add adds an organisation with its keys. It returns the index of the first key that
// another organisation, or the same one, already holds, else -1.
func (o *Organisations) Add(organisation *Organisation, keys []string) int {
	o.names[organisation.name] = true
	o.list = append(o.list, organisation)
	for i, key := range keys {
		if _, taken := o.holders[key]; taken {
			return i
		}
		o.holders[key] = organisation
	}
	return -1
}

// Len returns the number of organisations.
func (o *Organisations) Len() int { return len(o.names) }

// WithOrganisations returns a copy of the catalog in which requests need a key of one of
// the organisations, unless there are none.
func (c *Catalog) WithOrganisations(organisations *Organisations) *Catalog {
	copied := *c
	copied.organisations = organisations
	return &copied
}

// HasOrganisations reports whether requests need a key.
func (c *Catalog) HasOrganisations() bool {
	return c.organisations != nil && c.organisations.Len() > 0
}

// Organisations returns all organisations in the order of the configuration.
func (c *Catalog) Organisations() []*Organisation {
	if c.organisations == nil {
		return nil
	}
	return slices.Clone(c.organisations.list)
}

// Organisation returns the organisation that holds a key.
func (c *Catalog) Organisation(key string) (*Organisation, bool) {
	if c.organisations == nil {
		return nil, false
	}
	organisation, ok := c.organisations.holders[key]
	return organisation, ok
}
