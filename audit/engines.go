package audit

import (
	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/site"
)

func (f *findings) compareServices(inForce, configuration *platform.Configuration) {
	names := configuration.ServiceNames()
	last := lastPositions(names)
	for i, name := range names {
		if last[name] != i {
			continue
		}
		at := path{servicesKey}.at(i)
		now, _ := configuration.Catalog().Service(name)
		before, ok := inForce.Catalog().Service(name)
		if !ok {
			f.add(Info, at, "service %q is added", name)
			continue
		}
		f.compareService(at, before, now, configuration.ModelNames(i))
	}
	for _, service := range inForce.Catalog().Services() {
		if _, ok := last[service.Name]; !ok {
			f.add(Warning, path{servicesKey}, "service %q is removed: requests to it fail", service.Name)
		}
	}
}

func (f *findings) compareService(at path, before, now *site.Service, models []cardamom.ModelID) {
	if before.HealthPath != now.HealthPath {
		f.add(Info, at.at("healthPath"), "the health path of service %q changes from %q to %q", now.Name, before.HealthPath, now.HealthPath)
	}
	if before.MaxConnections != now.MaxConnections {
		isLower := now.MaxConnections > 0 && (before.MaxConnections <= 0 || now.MaxConnections < before.MaxConnections)
		f.add(lowered(isLower), at.at("maxConnections"), "the connections of service %q change from %d to %d", now.Name, before.MaxConnections, now.MaxConnections)
	}
	switch {
	case before.Engine == nil && now.Engine == nil:
	case before.Engine == nil:
		f.add(Warning, at.at("engine"), "service %q becomes one of engines: requests for models that aren't loaded wait or fail", now.Name)
	case now.Engine == nil:
		f.add(Warning, at, "service %q is no longer one of engines: its models aren't loaded any more", now.Name)
	default:
		f.compareEngine(at.at("engine"), now.Name, before.Engine, now.Engine, models)
	}
}

func (f *findings) compareEngine(at path, service cardamom.ServiceID, before, now *site.EngineSpec, models []cardamom.ModelID) {
	for _, value := range []struct {
		key, text   string
		before, now float64
	}{
		{"slots", "slots", float64(before.Slots), float64(now.Slots)},
		{"weightsMb", "MB for models", before.MemoryMB, now.MemoryMB},
		{"adapterSlots", "adapter slots", float64(before.AdapterSlots), float64(now.AdapterSlots)},
		{"loadsPerS", "loads per second", before.StoreLoadsPerSecond, now.StoreLoadsPerSecond},
	} {
		if value.before != value.now {
			f.add(lowered(value.now < value.before), at.at(value.key), "the %s of an engine of service %q change from %s to %s", value.text, service, number(value.before), number(value.now))
		}
	}
	last := lastPositions(models)
	for i, name := range models {
		if last[name] != i {
			continue
		}
		earlier, ok := before.Models[name]
		if !ok {
			f.add(Info, at.at("models", i), "model %q of service %q is added", name, service)
			continue
		}
		f.compareModel(at.at("models", i), earlier, now.Models[name])
	}
	for _, name := range sortedNames(before.Models) {
		if _, ok := now.Models[name]; !ok {
			f.add(Warning, at.at("models"), "model %q of service %q is removed: requests for it get 404", name, service)
		}
	}
}

func (f *findings) compareModel(at path, before, now site.Model) {
	if before.Adapters != now.Adapters {
		f.add(lowered(now.Adapters < before.Adapters), at.at("adapters"), "the adapters of model %q change from %d to %d", now.Name, before.Adapters, now.Adapters)
	}
	if before.SizeMB != now.SizeMB {
		f.add(Info, at.at("weightsMb"), "the size of model %q changes from %s to %s MB", now.Name, number(before.SizeMB), number(now.SizeMB))
	}
	if before.AdapterMB != now.AdapterMB {
		f.add(Info, at.at("adapterMb"), "the size of an adapter of model %q changes from %s to %s MB", now.Name, number(before.AdapterMB), number(now.AdapterMB))
	}
	if before.StoreLoadTime != now.StoreLoadTime || before.DiskLoadTime != now.DiskLoadTime || before.MemoryLoadTime != now.MemoryLoadTime {
		f.add(Info, at.at("loadTimeS"), "the load times of model %q from store, disk and memory change from %s, %s and %s to %s, %s and %s", now.Name,
			before.StoreLoadTime, before.DiskLoadTime, before.MemoryLoadTime, now.StoreLoadTime, now.DiskLoadTime, now.MemoryLoadTime)
	}
}
