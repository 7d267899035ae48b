package audit

import (
	"maps"
	"slices"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/site"
)

const (
	// bodyMemoryPercent is the part of an instance's memory that large request bodies may
	// take: 40% is for what callers send and get, and a quarter of it is kept for small
	// requests.
	bodyMemoryPercent = 30
	// minBodies is how many bodies of the greatest size an instance should hold at once. With
	// fewer, a few slow clients keep others with large bodies from being served.
	minBodies = 4
	mebibyte  = 1 << 20
)

func (f *findings) checkServices(configuration *platform.Configuration) {
	used := usedServices(configuration.Catalog())
	names := configuration.ServiceNames()
	last := lastPositions(names)
	for i, name := range names {
		at := path{servicesKey}.at(i)
		if last[name] != i {
			f.add(Warning, at.at("name"), "service %q has no effect: services.%d has the same name", name, last[name])
			continue
		}
		if !used[name] {
			f.add(Warning, at.at("name"), "no route refers to service %q", name)
		}
		if service, ok := configuration.Catalog().Service(name); ok && service.Engine != nil {
			f.checkEngine(at.at("engine"), service, configuration.ModelNames(i))
		}
	}
}

func (f *findings) checkEngine(at path, service *site.Service, names []cardamom.ModelID) {
	engine := service.Engine
	last := lastPositions(names)
	adapters := 0
	for i, name := range names {
		at := at.at("models", i)
		if last[name] != i {
			f.add(Warning, at.at("name"), "model %q of service %q has no effect: models.%d has the same name", name, service.Name, last[name])
			continue
		}
		model := engine.Models[name]
		adapters += max(model.Adapters, 0)
		switch {
		case model.SizeMB > engine.MemoryMB:
			f.add(Error, at.at("weightsMb"), "model %q can't be loaded: its %s MB are more than the %s MB of an engine of service %q", name, number(model.SizeMB), number(engine.MemoryMB), service.Name)
		case model.Adapters > 0 && model.SizeMB+model.AdapterMB > engine.MemoryMB:
			f.add(Error, at.at("adapterMb"), "no adapter of model %q can be loaded: model and adapter have %s MB, an engine of service %q has %s MB", name, number(model.SizeMB+model.AdapterMB), service.Name, number(engine.MemoryMB))
		}
	}
	switch {
	case adapters > 0 && engine.AdapterSlots <= 0:
		f.add(Error, at.at("adapterSlots"), "none of the %s of service %q can be loaded: its engines have %d adapter slots", plural(adapters, "adapter"), service.Name, engine.AdapterSlots)
	case adapters > engine.AdapterSlots:
		// Engines unload adapters that aren't in use, so this is usual where most are idle.
		f.add(Info, at.at("adapterSlots"), "service %q has %s, more than the %s of an engine", service.Name, plural(adapters, "adapter"), plural(engine.AdapterSlots, "adapter slot"))
	}
}

func (f *findings) checkLimits(limits site.Limits, options Options) {
	memory := options.MemoryBytes * bodyMemoryPercent / 100
	at := path{limitsKey, "maxBodyBytes"}
	switch {
	case options.MemoryBytes <= 0 || limits.BodyBytes <= 0:
	case limits.BodyBytes > memory:
		f.add(Error, at, "a body of %d bytes is more than the %d bytes that bodies may take, %d%% of the %d MB (memory_mb) of an instance", limits.BodyBytes, memory, bodyMemoryPercent, options.MemoryBytes/mebibyte)
	case limits.BodyBytes > memory/minBodies:
		f.add(Warning, at, "only %d of the bodies of %d bytes fit at once in the %d bytes that bodies may take, %d%% of the %d MB (memory_mb) of an instance", memory/limits.BodyBytes, limits.BodyBytes, memory, bodyMemoryPercent, options.MemoryBytes/mebibyte)
	}
}

// lastPositions returns the position of the last entry of each name, the one in effect.
func lastPositions[T comparable](names []T) map[T]int {
	last := make(map[T]int, len(names))
	for i, name := range names {
		last[name] = i
	}
	return last
}

// sortedNames returns the names of the models in order.
func sortedNames(models map[cardamom.ModelID]site.Model) []cardamom.ModelID {
	return slices.Sorted(maps.Keys(models))
}
