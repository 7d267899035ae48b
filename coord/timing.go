package coord

import "time"

const (
	// minExchangeInterval is the least time between two exchanges with the coordinator.
	minExchangeInterval = 400 * time.Millisecond
	// exchangeIntervalPerMember times the number of members is the time between two
	// exchanges if that is longer than minExchangeInterval.
	exchangeIntervalPerMember = 8 * time.Millisecond
	// earlyExchangePercent is the percentage of the exchange interval after which an
	// exchange may start early.
	earlyExchangePercent = 12
	// exchangeTimeout bounds an exchange; one takes a few milliseconds.
	exchangeTimeout = 600 * time.Millisecond
	// exchangeSlack is the time from when an exchange is due until its reply is applied:
	// two steps of the control loop and a call.
	exchangeSlack = 150 * time.Millisecond

	// catalogWait is how long the platform may hold one long poll for a newer
	// configuration. It bounds how long a silent connection goes unnoticed, and the
	// coordinator's configuration is up to this old.
	catalogWait = 500 * time.Millisecond
	// upstreamInterval is the coordinator's pause between two reads of registrations.
	upstreamInterval = 300 * time.Millisecond

	// stalePercent is the percentage of the time within which a change has to be in force
	// at which platform data counts as stale. The rest is for reading the platform, for
	// making the view and for requests that are on their way.
	stalePercent = 55
	// minPollInterval is the least pause between two reads of the platform by an instance
	// that does not coordinate.
	minPollInterval = 600 * time.Millisecond
	// pollIntervalPerMember times the number of members is that pause if it is longer
	// than minPollInterval, so that many instances don't overload the platform.
	pollIntervalPerMember = 15 * time.Millisecond
	// maxPollPercent bounds that pause, as a percentage of the time within which a change
	// has to be in force.
	maxPollPercent = 60
	// minBackoff is the pause after a failed call to the platform. It doubles with each
	// further failure.
	minBackoff = 250 * time.Millisecond
	// maxBackoff bounds that pause where there are few members.
	maxBackoff = 1500 * time.Millisecond

	// minCoordinatorTimeout and minMemberTimeout are the timeouts where there are few
	// members.
	minCoordinatorTimeout = 1200 * time.Millisecond
	minMemberTimeout      = 2200 * time.Millisecond

	// defaultChangeTime is the change time of options that set none.
	defaultChangeTime = 2 * time.Second
)

// timing has the intervals and ages of the control path that depend on the number of
// members or on the change time. An age is only true where data of that age can be had:
// each is derived from the intervals after which the data is renewed.
type timing struct {
	members int
	// changeTime is how soon after the platform accepts a change all instances have to
	// act on it.
	changeTime time.Duration
}

func newTiming(members int, changeTime time.Duration) timing {
	if changeTime <= 0 {
		changeTime = defaultChangeTime
	}
	return timing{members, changeTime}
}

// timing returns the intervals and ages for the members that this instance knows.
func (l *Loop) timing() timing { return newTiming(len(l.state.members), l.options.ChangeTime) }

// exchangeInterval returns the time between two exchanges of an instance. It grows with the
// number of members, so that the coordinator's work stays the same, until a longer one would
// leave instances with stale data.
func (t timing) exchangeInterval() time.Duration {
	longest := t.staleAfter() - max(catalogWait, upstreamInterval) - exchangeSlack
	return min(max(minExchangeInterval, time.Duration(t.members)*exchangeIntervalPerMember), longest)
}

// earlyExchangeInterval returns the least time between two exchanges, the second of which
// starts early.
func (t timing) earlyExchangeInterval() time.Duration {
	return t.exchangeInterval() * earlyExchangePercent / 100
}

// staleAfter returns the age from which platform data that came from the coordinator is
// stale, so that a member reads the platform itself.
func (t timing) staleAfter() time.Duration { return t.changeTime * stalePercent / 100 }

// pollInterval returns the pause between two reads of the platform by an instance that
// does not coordinate.
func (t timing) pollInterval() time.Duration {
	return min(max(minPollInterval, time.Duration(t.members)*pollIntervalPerMember), t.changeTime*maxPollPercent/100)
}

// maxBackoff returns the longest pause after a failed call to the platform.
func (t timing) maxBackoff() time.Duration { return max(maxBackoff, t.pollInterval()) }

// coordinatorTimeout returns the age of the last answered exchange from which the
// coordinator counts as lost: no sooner than after two exchanges without an answer.
func (t timing) coordinatorTimeout() time.Duration {
	regular := 2*t.exchangeInterval() + exchangeTimeout
	repeated := t.exchangeInterval() + t.earlyExchangeInterval() + 2*exchangeTimeout
	return max(minCoordinatorTimeout, min(regular, repeated))
}

// memberTimeout returns how long an instance stays a member after its last exchange: long
// enough for one that gets no answer and the next one.
func (t timing) memberTimeout() time.Duration {
	return max(minMemberTimeout, t.exchangeInterval()+exchangeTimeout+t.earlyExchangeInterval()+2*exchangeSlack)
}

// ExchangeInterval returns the time between two exchanges of one of so many members, where
// a change has to be in force everywhere within the given time.
func ExchangeInterval(members int, changeTime time.Duration) time.Duration {
	return newTiming(members, changeTime).exchangeInterval()
}

// EarlyExchangeInterval returns the least time between two such exchanges, the second of
// which starts early.
func EarlyExchangeInterval(members int, changeTime time.Duration) time.Duration {
	return newTiming(members, changeTime).earlyExchangeInterval()
}
