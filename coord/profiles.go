package coord

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
)

// Profiles are the operators' profiles and their assignment to services.
type Profiles struct {
	// Named has the profiles by name, Services the name of each service's
	// profile. Services that are not listed use Default.
	Named    map[string]plan.Profile
	Services map[cardamom.ServiceID]string
	Default  string
}

// For returns the profile of a service.
func (p Profiles) For(service cardamom.ServiceID) plan.Profile {
	name, ok := p.Services[service]
	if !ok {
		name = p.Default
	}
	if profile, ok := p.Named[name]; ok {
		return profile
	}
	return plan.DefaultProfile
}

// SetProfiles replaces the profiles.
func (l *Loop) SetProfiles(profiles Profiles) {
	l.post(func(time.Time) {
		l.options.Profiles = profiles
		if l.term == nil {
			return
		}
		for name, p := range l.term.plans {
			p.SetProfile(profiles.For(name))
		}
	})
}
