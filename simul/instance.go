package simul

import (
	"slices"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/coord"
	"cardamomcourse.example/cardamom/demand"
	"cardamomcourse.example/cardamom/health"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/pace"
	"cardamomcourse.example/cardamom/pick"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/retry"
	"cardamomcourse.example/cardamom/site"
)

const (
	// changeTime is how soon changes have to be in force at all instances, which bounds the
	// time between their exchanges.
	changeTime = 3 * time.Second
	// firstEventMargin, missingTTL, maxRejected, rejectionPause, fullRecheck, holdRecheck
	// and retryAfterMargin are those of package relay and await.
	firstEventMargin = 250 * time.Millisecond
	missingTTL       = 400 * time.Millisecond
	maxRejected      = 2
	rejectionPause   = 30 * time.Millisecond
	fullRecheck      = 25 * time.Millisecond
	holdRecheck      = 10 * time.Millisecond
	retryAfterMargin = 150 * time.Millisecond
	shortRetryAfter  = 400 * time.Millisecond
	fullPercent      = 60
)

// retryLimits are the limits of the retry budget that the instances share.
var retryLimits = retry.Limits{Ratio: 0.2, Window: 10 * time.Second, Slack: 50}

// instance serves callers with what it knows from its last exchange.
type instance struct {
	play   *play
	number int
	down   bool
	// starts counts the starts, so that events of an earlier run are dropped.
	starts       int
	demand       *demand.Counter
	pace         *pace.Tracker
	health       *health.Tracker
	budget       *retry.Budget
	limits       *quota.Book
	notices      *notice.Book
	view         map[cardamom.UpstreamID]*site.Upstream
	others       map[cardamom.UpstreamID]demand.Upstream
	since        uint64
	lastExchange time.Time
	missing      map[missingKey]time.Time
	// open are the attempts that have not ended, in order of arrival.
	open []*exchange
}

type missingKey struct {
	upstream cardamom.UpstreamID
	model    cardamom.ModelID
}

// start starts the instance with nothing but its settings.
func (i *instance) start(now time.Time) {
	i.starts++
	i.down = false
	i.demand, i.pace, i.health, i.budget = demand.New(), pace.New(), health.New(), retry.New(retryLimits, i.play.choices.Float64())
	i.view, i.others, i.since = make(map[cardamom.UpstreamID]*site.Upstream), nil, 0
	i.limits, i.notices = quota.NewBook(), notice.NewBook()
	i.notices.OnLeave(func(notice.Run) { i.exchangeSoon() })
	i.play.forget(i)
	i.missing, i.open = make(map[missingKey]time.Time), nil
	if !i.play.without["early"] {
		i.demand.OnStart(func(demand.Key) { i.exchangeSoon() })
	}
	// The instances' exchanges are spread over the interval.
	spread := coord.ExchangeInterval(len(i.play.instances), changeTime) * time.Duration(i.number) / time.Duration(len(i.play.instances))
	i.lastExchange = now
	i.scheduleExchange(spread)
}

// stop ends the process: its requests are lost.
func (i *instance) stop() {
	i.down = true
	i.starts++
	for _, x := range slices.Clone(i.open) {
		x.lost()
	}
}

func (i *instance) scheduleExchange(wait time.Duration) {
	starts := i.starts
	i.play.events.after(wait, func(now time.Time) {
		if i.starts != starts {
			return
		}
		if due := coord.ExchangeInterval(len(i.play.instances), changeTime) - now.Sub(i.lastExchange); due > 0 && i.since > 0 {
			// An early exchange took place meanwhile.
			i.scheduleExchange(due)
			return
		}
		i.exchange(now)
		i.scheduleExchange(coord.ExchangeInterval(len(i.play.instances), changeTime))
	})
}

// exchangeSoon makes the next exchange start early.
func (i *instance) exchangeSoon() {
	starts := i.starts
	wait := coord.EarlyExchangeInterval(len(i.play.instances), changeTime) - i.play.events.now.Sub(i.lastExchange)
	i.play.events.after(max(wait, 0), func(now time.Time) {
		if i.starts == starts && now.Sub(i.lastExchange) >= coord.EarlyExchangeInterval(len(i.play.instances), changeTime) {
			i.exchange(now)
		}
	})
}

// exchange reports to the coordinator and takes over what changed.
func (i *instance) exchange(now time.Time) {
	i.lastExchange = now
	report, since, starts, limits, leaving, waits := i.demand.Take(), i.since, i.starts, i.limits.Limits(), i.notices.Leaving(), i.notices.Waits(now)
	i.play.events.after(hop, func(now time.Time) {
		i.play.coordinator.mergeLeaves(leaving, now)
		i.play.coordinator.mergeWaits(waits, now)
		changed, version, others := i.play.coordinator.exchange(i.number, report, since, now)
		i.play.coordinator.limits.Merge(limits)
		known := i.play.coordinator.limits.Limits()
		i.play.events.after(hop, func(time.Time) {
			if i.starts != starts {
				return
			}
			i.limits.Merge(known)
			i.since, i.others = version, others
			i.learn(changed)
		})
	})
}

// learn takes over newer states of engines.
func (i *instance) learn(upstreams []*site.Upstream) {
	for _, upstream := range upstreams {
		i.view[upstream.ID] = upstream
	}
}

// candidates returns the engines that could run a request for the model now, and when the
// first of those that want no requests for a time wants some again, zero if there are none.
func (i *instance) candidates(x *exchange, now time.Time) (list []pick.Candidate, freeAt time.Time) {
	for _, e := range i.play.order {
		upstream, ok := i.view[e.ID]
		if !ok || upstream.State != cardamom.Live || !upstream.HasLoaded(x.model, "") || now.Before(i.missing[missingKey{e.ID, x.model}]) {
			continue
		}
		if may, until := i.mayGet(upstream, now); !may {
			if !until.IsZero() && (freeAt.IsZero() || until.Before(freeAt)) {
				freeAt = until
			}
			continue
		}
		list = append(list, pick.Candidate{
			ID: e.ID, Running: i.demand.Running(e.ID) + i.others[e.ID].Running, Limit: upstream.Slots, FailureRate: i.health.Rate(e.ID, now),
			OtherFailures: i.others[e.ID].Failures, Suspended: i.health.Suspended(e.ID, now), SameDataCentre: true, Expected: i.pace.Expected(e.ID, now),
			RecentTokens: i.pace.RecentTokens(e.ID, x.route.TargetGap, now), Avoided: x.avoided[e.ID], RateLimited: !i.play.without["permits"] && i.limits.IsFresh(upstream, now),
		})
	}
	return list, freeAt
}
