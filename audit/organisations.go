package audit

import (
	"cardamomcourse.example/cardamom/platform"
	"cardamomcourse.example/cardamom/site"
)

func (f *findings) checkOrganisations(configuration *platform.Configuration) {
	for i, organisation := range configuration.Catalog().Organisations() {
		at := path{tenantsKey}.at(i)
		if len(configuration.OrganisationKeys(i)) == 0 {
			f.add(Warning, at.at("apiKeys"), "organisation %q has no keys: no request runs for it", organisation.Name())
		}
		f.checkQuota(at, organisation.Name(), organisation.Quota())
	}
}

func (f *findings) checkQuota(at path, name string, quota site.Quota) {
	plain := quota.Amount(0, false)
	if quota.Unit == site.Requests && quota.PlainTokens > 0 {
		f.add(Warning, at.at("plainTokens"), "plainTokens %s of organisation %q has no effect: its quota counts requests", number(quota.PlainTokens), name)
	}
	if !quota.Limited() {
		if quota.Burst > 0 {
			f.add(Warning, at.at("burst"), "the burst %s of organisation %q has no effect: it has no ratePerS", number(quota.Burst), name)
		}
		return
	}
	if quota.Unit == site.Tokens && plain == 0 {
		f.add(Warning, at.at("plainTokens"), "the quota of organisation %q doesn't bound requests without a token count: plainTokens is 0", name)
	}
	for _, limit := range []struct {
		key   string
		value float64
	}{{"ratePerS", quota.PerSecond}, {"burst", quota.Burst}} {
		if limit.value < plain {
			f.add(Warning, at.at(limit.key), "%s %s of organisation %q is below the %s of one request", limit.key, number(limit.value), name, amountText(plain, quota.Unit))
		}
	}
}

// amountText returns an amount with the unit that a quota counts.
func amountText(amount float64, unit site.QuotaUnit) string {
	if unit == site.Tokens {
		return number(amount) + " tokens"
	}
	return "count of " + number(amount)
}

// keyHolders has the organisation of each key before and after a change, and whether
// requests need a key after it.
type keyHolders struct {
	before, now map[platform.OrganisationKey]string
	needed      bool
}

// holdersOf maps each key to the name of its organisation.
func holdersOf(configuration *platform.Configuration) map[platform.OrganisationKey]string {
	names := make(map[platform.OrganisationKey]string)
	for i, organisation := range configuration.Catalog().Organisations() {
		for _, key := range configuration.OrganisationKeys(i) {
			names[key] = organisation.Name()
		}
	}
	return names
}

// compareOrganisations compares organisations by name.
func (f *findings) compareOrganisations(inForce, configuration *platform.Configuration) {
	before, now := inForce.Catalog(), configuration.Catalog()
	switch {
	case !before.HasOrganisations() && now.HasOrganisations():
		f.add(Warning, path{tenantsKey}, "requests need a key, except to anonymous routes: without one they get 401")
	case before.HasOrganisations() && !now.HasOrganisations():
		f.add(Warning, path{tenantsKey}, "requests need no key any more and have no quota")
	}
	positions := make(map[string]int)
	for i, organisation := range before.Organisations() {
		positions[organisation.Name()] = i
	}
	holders := keyHolders{before: holdersOf(inForce), now: holdersOf(configuration), needed: now.HasOrganisations()}
	earlier := before.Organisations()
	for i, organisation := range now.Organisations() {
		at := path{tenantsKey}.at(i)
		position, ok := positions[organisation.Name()]
		if !ok {
			f.add(Info, at, "organisation %q is added", organisation.Name())
			f.compareKeys(at.at("apiKeys"), organisation.Name(), nil, configuration.OrganisationKeys(i), holders)
			continue
		}
		delete(positions, organisation.Name())
		f.compareKeys(at.at("apiKeys"), organisation.Name(), inForce.OrganisationKeys(position), configuration.OrganisationKeys(i), holders)
		f.comparePriority(at, earlier[position], organisation)
		f.compareQuota(at, organisation.Name(), earlier[position].Quota(), organisation.Quota())
	}
	for i, organisation := range earlier {
		if _, removed := positions[organisation.Name()]; removed {
			f.add(Warning, path{tenantsKey}, "organisation %q is removed", organisation.Name())
			f.compareKeys(path{tenantsKey}, organisation.Name(), inForce.OrganisationKeys(i), nil, holders)
		}
	}
}

// compareKeys reports how many keys of an organisation come and go, never which.
func (f *findings) compareKeys(at path, name string, before, now []platform.OrganisationKey, holders keyHolders) {
	removed, moved, added := 0, 0, 0
	for _, key := range before {
		holder, held := holders.now[key]
		switch {
		case !held:
			removed++
		case holder != name:
			moved++
		}
	}
	for _, key := range now {
		// A key that moves is reported at the organisation that had it.
		if _, held := holders.before[key]; !held {
			added++
		}
	}
	if removed > 0 {
		consequence := "requests with it get 401"
		if removed > 1 {
			consequence = "requests with them get 401"
		}
		if !holders.needed {
			consequence = "requests need no key any more"
		}
		f.add(Warning, at, "organisation %q loses %s: %s", name, plural(removed, "key"), consequence)
	}
	if moved > 0 {
		f.add(Warning, at, "organisation %q gives %s to another one, for which the requests run now", name, plural(moved, "key"))
	}
	if added > 0 {
		f.add(Info, at, "organisation %q gets %s", name, plural(added, "key"))
	}
}

func (f *findings) comparePriority(at path, before, now *site.Organisation) {
	oldPriority, hadPriority := before.Priority()
	priority, hasPriority := now.Priority()
	switch {
	case hadPriority && hasPriority && oldPriority != priority:
		f.add(lowered(priority > oldPriority), at.at("priority"), "the priority of organisation %q changes from %d to %d; 0 is served first", now.Name(), oldPriority, priority)
	case !hadPriority && hasPriority:
		f.add(Warning, at.at("priority"), "organisation %q gets priority %d, which goes before those of routes", now.Name(), priority)
	case hadPriority && !hasPriority:
		f.add(Warning, at.at("priority"), "organisation %q loses its priority %d: those of routes apply", now.Name(), oldPriority)
	}
}

func (f *findings) compareQuota(at path, name string, before, now site.Quota) {
	if before.Unit != now.Unit && (before.Limited() || now.Limited()) {
		f.add(Warning, at.at("unit"), "the quota of organisation %q counts %s instead of %s", name, unitText(now.Unit), unitText(before.Unit))
	}
	if before.PerSecond != now.PerSecond {
		isLower := now.Limited() && (!before.Limited() || now.PerSecond < before.PerSecond)
		f.add(lowered(isLower), at.at("ratePerS"), "ratePerS of organisation %q changes from %s to %s", name, limitText(before.Limited(), number(before.PerSecond)), limitText(now.Limited(), number(now.PerSecond)))
	}
	if before.Burst != now.Burst {
		f.add(lowered(now.Limited() && now.Burst < before.Burst), at.at("burst"), "the burst of organisation %q changes from %s to %s", name, number(before.Burst), number(now.Burst))
	}
	if before.PlainTokens != now.PlainTokens && now.Unit == site.Tokens {
		f.add(lowered(now.Limited() && now.PlainTokens > before.PlainTokens), at.at("plainTokens"), "a request of organisation %q without a token count counts %s instead of %s tokens", name, number(now.PlainTokens), number(before.PlainTokens))
	}
}

func unitText(unit site.QuotaUnit) string {
	if unit == site.Tokens {
		return "tokens"
	}
	return "requests"
}
