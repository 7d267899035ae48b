// Package policy holds the published profile document: profiles, services and
// models, and the revisions that order them.
//
// # Usage
//
//	document, err := policy.Parse("kalliope.profiles.jsonc", body)
//	model, ok := document.Model("muse-01")
//	quota := document.Quota(cell, model)
//
// A document is immutable once parsed.
package policy

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

// Kind tells model services from plain ones.
type Kind uint8

// The kinds of services.
const (
	KindModels Kind = iota + 1
	KindPlain
)

// Profile describes how a class of models is kept, admitted, prioritised and retired.
type Profile struct {
	name        string
	priority    int
	replicas    int
	centres     int
	deadline    time.Duration
	keep        string
	keepFor     time.Duration
	minWarm     int
	queue       int
	callerLimit int
	idempotent  bool
}

// Name returns the profile's name.
func (p *Profile) Name() string { return p.name }

// Priority returns 0 (most urgent) to 9 (most patient).
func (p *Profile) Priority() int { return p.priority }

// Replicas returns the greatest number of replicas of one model over all cells.
func (p *Profile) Replicas() int { return p.replicas }

// DataCentres returns over how many cells the replicas are spread.
func (p *Profile) DataCentres() int { return p.centres }

// Deadline returns the time a request has when its caller names none.
func (p *Profile) Deadline() time.Duration { return p.deadline }

// Keep returns the name of the keep-alive strategy.
func (p *Profile) Keep() string { return p.keep }

// KeepFor returns the keep-alive strategy's time.
func (p *Profile) KeepFor() time.Duration { return p.keepFor }

// MinWarm returns how many replicas stay loaded in a cell without demand.
func (p *Profile) MinWarm() int { return p.minWarm }

// Queue returns how many requests may wait for one model at one instance.
func (p *Profile) Queue() int { return p.queue }

// CallerLimit returns how many requests one caller may have at one instance.
func (p *Profile) CallerLimit() int { return p.callerLimit }

// Idempotent tells whether a request without a key may be tried again.
func (p *Profile) Idempotent() bool { return p.idempotent }

// Service is a group of upstreams that run the same program.
type Service struct {
	id          cardamom.ServiceID
	kind        Kind
	centres     []cardamom.DataCentre
	cells       []cardamom.CellID
	fencing     bool
	memory      int
	loadStreams int
	profile     *Profile
}

// ID returns the service's name.
func (s *Service) ID() cardamom.ServiceID { return s.id }

// Kind returns whether models or plain calls are served.
func (s *Service) Kind() Kind { return s.kind }

// DataCentres returns where the service runs.
func (s *Service) DataCentres() []cardamom.DataCentre { return s.centres }

// Cells returns the service's cells in a fixed order.
func (s *Service) Cells() []cardamom.CellID { return s.cells }

// Fencing tells whether the engines refuse an order with an old fence.
func (s *Service) Fencing() bool { return s.fencing }

// Profile returns the profile of a plain service.
func (s *Service) Profile() *Profile { return s.profile }

// LoadStreams returns how many loads of cell c may read the weight store at
// once, so that all cells together stay within the store's full-speed streams.
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

// Base returns the model an adapter needs, empty for a model.
func (m *Model) Base() cardamom.ModelID { return m.base }

// Memory returns the accelerator memory in MB.
func (m *Model) Memory() int { return m.memory }

// Checkpoint returns the checkpoint's size in MB.
func (m *Model) Checkpoint() int { return m.checkpoint }

// Cells returns the cells with a quota for the model, its home first.
func (m *Model) Cells() []cardamom.CellID { return m.cells }

// Quota returns how many replicas cell c may load.
func (m *Model) Quota(c cardamom.CellID) int {
	for i, cell := range m.cells {
		if cell != c {
			continue
		}
		quota := m.profile.replicas / len(m.cells)
		if i < m.profile.replicas%len(m.cells) {
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
	order    []cardamom.ModelID
}

// Model returns the model of that name.
func (d *Document) Model(id cardamom.ModelID) (*Model, bool) {
	model, ok := d.models[id]
	return model, ok
}

// Models returns the names of all models in order.
func (d *Document) Models() []cardamom.ModelID { return d.order }

// Service returns the service of that name.
func (d *Document) Service(id cardamom.ServiceID) (*Service, bool) {
	service, ok := d.services[id]
	return service, ok
}

// Services returns all services in order of name.
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

// Published is a document with its place in the order of revisions.
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

// Revision returns the document's place in the order of revisions.
func (p *Published) Revision() cardamom.Revision { return p.revision }

// Document returns the parsed document.
func (p *Published) Document() *Document { return p.document }

// Body returns the source text.
func (p *Published) Body() []byte { return p.body }

// Edit returns the identity of the edit that published the document.
func (p *Published) Edit() string { return p.edit }

// Editor returns who published the document.
func (p *Published) Editor() string { return p.editor }
