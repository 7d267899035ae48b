// Package policy parses the published profile document: profiles, services and
// models. The engines of a service are divided into cells, and one instance plans
// the loads of each cell.
//
// # Usage
//
//	document, err := policy.Parse("kalliope.profiles.jsonc", body)
//	model, ok := document.Model("muse-01")
//	quota := model.Quota(cell)
//
// A document is immutable once parsed.
package policy

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Kind is the kind of a service. A service of kind models runs engines, a plain one
// any other program.
type Kind uint8

// The kinds of services.
const (
	KindModels Kind = iota + 1
	KindPlain
)

// Profile holds the settings for models or a plain service: priority, replicas,
// time limits, queueing and how long an idle model stays loaded.
type Profile struct {
	name         string
	priority     int
	maxReplicas  int
	cellCount    int
	deadline     time.Duration
	keepStrategy string
	keepFor      time.Duration
	minWarm      int
	queueLimit   int
	callerLimit  int
	idempotent   bool
}

// Name returns the profile's name.
func (p *Profile) Name() string { return p.name }

// Priority returns 0 (most urgent) to 9 (least urgent).
func (p *Profile) Priority() int { return p.priority }

// MaxReplicas returns the maximum number of replicas of one model in all cells together.
func (p *Profile) MaxReplicas() int { return p.maxReplicas }

// CellCount returns the number of cells over which the replicas are spread.
func (p *Profile) CellCount() int { return p.cellCount }

// Deadline returns the timeout of a request whose caller sets none.
func (p *Profile) Deadline() time.Duration { return p.deadline }

// KeepStrategy returns the name of the strategy that decides how long an idle model stays loaded.
func (p *Profile) KeepStrategy() string { return p.keepStrategy }

// KeepFor returns the time given to that strategy: the keep time itself, or the idle
// time that avoiding a cold start is worth.
func (p *Profile) KeepFor() time.Duration { return p.keepFor }

// MinWarm returns how many replicas stay loaded in each cell without demand.
func (p *Profile) MinWarm() int { return p.minWarm }

// QueueLimit returns how many requests may wait for one model at one instance.
func (p *Profile) QueueLimit() int { return p.queueLimit }

// CallerLimit returns how many requests one caller may have open at one instance.
func (p *Profile) CallerLimit() int { return p.callerLimit }

// Idempotent reports whether a request without an idempotency key may be sent again.
func (p *Profile) Idempotent() bool { return p.idempotent }

// Service is a group of upstreams that run the same program.
type Service struct {
	id          cardamom.ServiceID
	kind        Kind
	dataCentres []cardamom.DataCentre
	cells       []cardamom.CellID
	fencing     bool
	memory      int
	loadStreams int
	profile     *Profile
}

// ID returns the service's name.
func (s *Service) ID() cardamom.ServiceID { return s.id }

// Kind returns the kind of the service.
func (s *Service) Kind() Kind { return s.kind }

// DataCentres returns the data centres in which the service runs.
func (s *Service) DataCentres() []cardamom.DataCentre { return s.dataCentres }

// Cells returns the service's cells in a fixed order.
func (s *Service) Cells() []cardamom.CellID { return s.cells }

// Fencing reports whether the engines refuse an order with a stale fencing token.
func (s *Service) Fencing() bool { return s.fencing }

// Profile returns the profile of a plain service.
func (s *Service) Profile() *Profile { return s.profile }

// LoadStreams returns how many loads of cell c may read the weight store at once.
// All cells together stay within the number that the store serves at full speed,
// but each has at least one.
func (s *Service) LoadStreams(c cardamom.CellID) int {
	share := s.loadStreams / len(s.cells)
	for i, cell := range s.cells {
		if cell == c && i < s.loadStreams%len(s.cells) {
			share++
		}
	}
	return max(share, 1)
}

// Model is one model or adapter.
type Model struct {
	id         cardamom.ModelID
	service    *Service
	profile    *Profile
	base       cardamom.ModelID
	memory     int
	checkpoint int
	cells      []cardamom.CellID
}

// ID returns the model's name.
func (m *Model) ID() cardamom.ModelID { return m.id }

// Service returns the service that runs the model.
func (m *Model) Service() *Service { return m.service }

// Profile returns the model's profile.
func (m *Model) Profile() *Profile { return m.profile }

// Base returns the model that must be loaded before the adapter, empty if this is
// not an adapter.
func (m *Model) Base() cardamom.ModelID { return m.base }

// Memory returns the accelerator memory that the model takes, in MB.
func (m *Model) Memory() int { return m.memory }

// Checkpoint returns the checkpoint's size in MB.
func (m *Model) Checkpoint() int { return m.checkpoint }

// Cells returns the cells with a quota for the model, the preferred one first.
func (m *Model) Cells() []cardamom.CellID { return m.cells }

// Quota returns how many replicas of the model cell c may have.
func (m *Model) Quota(c cardamom.CellID) int {
	for i, cell := range m.cells {
		if cell != c {
			continue
		}
		quota := m.profile.maxReplicas / len(m.cells)
		if i < m.profile.maxReplicas%len(m.cells) {
			quota++
		}
		return quota
	}
	return 0
}

// Document is one published state of profiles, services and models.
type Document struct {
	profiles map[string]*Profile
	services map[cardamom.ServiceID]*Service
	models   map[cardamom.ModelID]*Model
	modelIDs []cardamom.ModelID
}

// Model returns the model of that name.
func (d *Document) Model(id cardamom.ModelID) (*Model, bool) {
	model, ok := d.models[id]
	return model, ok
}

// Models returns the names of all models and adapters, sorted.
func (d *Document) Models() []cardamom.ModelID { return d.modelIDs }

// Service returns the service of that name.
func (d *Document) Service(id cardamom.ServiceID) (*Service, bool) {
	service, ok := d.services[id]
	return service, ok
}

// Services returns all services, sorted by name.
func (d *Document) Services() []*Service {
	services := make([]*Service, 0, len(d.services))
	for _, service := range d.services {
		services = append(services, service)
	}
	sort.Slice(services, func(i, j int) bool { return services[i].id < services[j].id })
	return services
}

// Profile returns the profile of that name.
func (d *Document) Profile(name string) (*Profile, bool) {
	profile, ok := d.profiles[name]
	return profile, ok
}

// Published is a document with its revision.
type Published struct {
	revision cardamom.Revision
	document *Document
	body     []byte
	edit     string
	editor   string
}

// NewPublished returns a published document. Body is its source text.
func NewPublished(revision cardamom.Revision, document *Document, body []byte, edit, editor string) *Published {
	return &Published{revision: revision, document: document, body: body, edit: edit, editor: editor}
}

// Revision returns the document's revision. A greater one is newer.
func (p *Published) Revision() cardamom.Revision { return p.revision }

// Document returns the parsed document.
func (p *Published) Document() *Document { return p.document }

// Body returns the source text.
func (p *Published) Body() []byte { return p.body }

// Edit returns the ID of the edit that published the document.
func (p *Published) Edit() string { return p.edit }

// Editor returns who published the document.
func (p *Published) Editor() string { return p.editor }
