package policy

import (
	_ "embed"
	"fmt"
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/conf"
	"cardamomcourse.example/cardamom/route/rank"
)

//go:embed schema.json
var schema []byte

const (
	// Defaults of the settings that are given neither in a profile nor in one that it
	// extends.
	defaultPriority     = 5
	defaultMaxReplicas  = 2
	defaultCellCount    = 1
	defaultDeadline     = 30 * time.Second
	defaultKeepStrategy = "gaps"
	defaultKeepFor      = 5 * time.Minute
	defaultQueueLimit   = 1000
	defaultCallerLimit  = 1000

	// defaultLoadStreams is the default of a service's load_streams.
	defaultLoadStreams = 4
	// maxExtendsDepth limits the chain of profiles that a profile extends. A profile
	// that extends itself exceeds it.
	maxExtendsDepth = 8
)

// Parse parses and checks a document's source text. The error is a
// *conf.CheckError that lists every fault with its key and line.
func Parse(name string, body []byte) (*Document, error) {
	var wire documentWire
	source, err := conf.Decode(name, body, schema, &wire)
	if err != nil {
		return nil, err
	}
	p := &parser{source: source, wire: wire, document: &Document{
		profiles: make(map[string]*Profile, len(wire.Profiles)),
		services: make(map[cardamom.ServiceID]*Service, len(wire.Services)),
		models:   make(map[cardamom.ModelID]*Model, len(wire.Models)),
	}}
	p.parseProfiles()
	p.parseServices()
	p.parseModels()
	if err := source.Err(); err != nil {
		return nil, err
	}
	return p.document, nil
}

type parser struct {
	source   *conf.Source
	wire     documentWire
	document *Document
}

func (p *parser) parseProfiles() {
	for name := range p.wire.Profiles {
		profile := &Profile{
			name: name, priority: defaultPriority, maxReplicas: defaultMaxReplicas, cellCount: defaultCellCount,
			deadline: defaultDeadline, keepStrategy: defaultKeepStrategy, keepFor: defaultKeepFor,
			queueLimit: defaultQueueLimit, callerLimit: defaultCallerLimit, idempotent: true,
		}
		p.applyProfile(profile, name, 0)
		p.checkProfile(profile)
		p.document.profiles[name] = profile
	}
}

// applyProfile applies the settings of the profile that the named profile extends,
// and then its own settings over them.
func (p *parser) applyProfile(profile *Profile, name string, depth int) {
	wire := p.wire.Profiles[name]
	if wire.Extends != "" {
		_, known := p.wire.Profiles[wire.Extends]
		if !known || depth >= maxExtendsDepth {
			p.source.Faultf([]string{"profiles", name, "extends"}, "profile %q does not exist or extends itself", wire.Extends)
			return
		}
		p.applyProfile(profile, wire.Extends, depth+1)
	}
	setIfGiven(&profile.priority, wire.Priority)
	setIfGiven(&profile.maxReplicas, wire.Replicas)
	setIfGiven(&profile.cellCount, wire.DataCentres)
	setIfGiven(&profile.keepStrategy, wire.Keep)
	setIfGiven(&profile.minWarm, wire.MinWarm)
	setIfGiven(&profile.queueLimit, wire.Queue)
	setIfGiven(&profile.callerLimit, wire.CallerLimit)
	setIfGiven(&profile.idempotent, wire.Idempotent)
	setMillisIfGiven(&profile.deadline, wire.DeadlineMS)
	setMillisIfGiven(&profile.keepFor, wire.KeepMS)
}

func (p *parser) checkProfile(profile *Profile) {
	path := []string{"profiles", profile.name}
	if profile.cellCount > profile.maxReplicas {
		p.source.Faultf(path, "places %d exceeds replicas %d: a place would have no replica", profile.cellCount, profile.maxReplicas)
	}
	if profile.minWarm > profile.maxReplicas {
		p.source.Faultf(path, "min_warm %d exceeds replicas %d", profile.minWarm, profile.maxReplicas)
	}
	if profile.keepStrategy == "always" && profile.minWarm == 0 {
		p.source.Faultf(path, "keep %q needs min_warm of at least 1", profile.keepStrategy)
	}
}

func (p *parser) parseServices() {
	for name, wire := range p.wire.Services {
		service := &Service{
			id: cardamom.ServiceID(name), kind: KindPlain, fencing: wire.Fencing,
			memory: wire.EngineMemoryMB, loadStreams: wire.LoadStreams,
		}
		if service.loadStreams == 0 {
			service.loadStreams = defaultLoadStreams
		}
		for _, centre := range wire.DataCentres {
			service.dataCentres = append(service.dataCentres, cardamom.DataCentre(centre))
		}
		if wire.Kind == "models" {
			service.kind = KindModels
			service.cells = cellsOf(service, max(wire.CellsPerPlace, 1))
			if wire.EngineMemoryMB == 0 {
				p.source.Faultf([]string{"services", name}, "a models service needs runner_memory_mb")
			}
		} else {
			service.profile = p.profileOf(wire.Profile, "services", name)
		}
		p.document.services[service.id] = service
	}
}

func cellsOf(service *Service, perDataCentre int) []cardamom.CellID {
	var cells []cardamom.CellID
	for n := range perDataCentre {
		for _, centre := range service.dataCentres {
			cells = append(cells, cardamom.CellID(fmt.Sprintf("%s/%s/%d", service.id, centre, n)))
		}
	}
	return cells
}

func (p *parser) profileOf(profile, kind, name string) *Profile {
	known, ok := p.document.profiles[profile]
	if !ok {
		p.source.Faultf([]string{kind, name, "profile"}, "profile %q does not exist", profile)
		return &Profile{name: profile, maxReplicas: 1, cellCount: 1}
	}
	return known
}

func (p *parser) parseModels() {
	for name, wire := range p.wire.Models {
		service, ok := p.document.services[cardamom.ServiceID(wire.Service)]
		if !ok || service.kind != KindModels {
			p.source.Faultf([]string{"models", name, "service"}, "service %q is not a models service", wire.Service)
			continue
		}
		model := &Model{
			id: cardamom.ModelID(name), service: service, base: cardamom.ModelID(wire.Base),
			profile: p.profileOf(wire.Profile, "models", name), memory: wire.MemoryMB, checkpoint: wire.CheckpointMB,
		}
		model.cells = rankedCells(service, model, wire)
		p.document.models[model.id] = model
		p.document.modelIDs = append(p.document.modelIDs, model.id)
	}
	sort.Slice(p.document.modelIDs, func(i, j int) bool { return p.document.modelIDs[i] < p.document.modelIDs[j] })
	for _, id := range p.document.modelIDs {
		p.checkModel(p.document.models[id])
	}
}

// rankedCells returns the model's cells: the first of the service's cells as ranked
// by the name of the model, or for an adapter by that of its base, so that both
// share their cells.
func rankedCells(service *Service, model *Model, wire modelWire) []cardamom.CellID {
	key := string(model.id)
	if wire.Base != "" {
		key = wire.Base
	}
	ranked := rank.Order(key, service.cells)
	return ranked[:min(max(model.profile.cellCount, 1), len(ranked))]
}

func (p *parser) checkModel(model *Model) {
	path := []string{"models", string(model.id)}
	need := model.memory
	if model.base != "" {
		base, ok := p.document.models[model.base]
		if !ok || base.base != "" || base.service != model.service {
			p.source.Faultf(append(path, "base"), "base %q is not a model of service %q", model.base, model.service.id)
			return
		}
		if base.profile.cellCount < model.profile.cellCount || base.profile.maxReplicas < model.profile.maxReplicas {
			p.source.Faultf(path, "quota %d over %d places exceeds that of base %q", model.profile.maxReplicas, model.profile.cellCount, model.base)
		}
		need += base.memory
	}
	if need > model.service.memory {
		p.source.Faultf(path, "needs %d MB, an engine of %q has %d MB", need, model.service.id, model.service.memory)
	}
	if model.profile.cellCount > len(model.service.cells) {
		p.source.Faultf(path, "profile %q spreads over %d places, service %q has %d cells",
			model.profile.name, model.profile.cellCount, model.service.id, len(model.service.cells))
	}
}

func setIfGiven[T any](field, value *T) {
	if value != nil {
		*field = *value
	}
}

func setMillisIfGiven(field *time.Duration, value *int64) {
	if value != nil {
		*field = time.Duration(*value) * time.Millisecond
	}
}
