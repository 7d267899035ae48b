package coord

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/plan"
)

// Profiles are the operators' profiles and their assignment to services. A
// profile sets how many replicas the models of a service get.
type Profiles struct {
	// Named has the profiles by name.
	Named map[string]plan.Profile
	// Services has the name of each service's profile.
	Services map[cardamom.ServiceID]string
	// Default is the name of the profile of services that Services doesn't list.
	Default string
}

// For returns the profile of a service. It is plan.DefaultProfile if no profile
// has the name, as when the name is empty.
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

// SetProfiles replaces the profiles, also in the plans of the current term.
func (l *Loop) SetProfiles(profiles Profiles) {
	l.post(func(time.Time) {
		l.options.Profiles = profiles
		if l.term == nil {
			return
		}
		for service, servicePlan := range l.term.plans {
			servicePlan.SetProfile(profiles.For(service))
		}
	})
}
