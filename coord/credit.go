package coord

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"cardamomcourse.example/cardamom/clock"
	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// creditCallTimeout bounds a call for credit; one takes a few milliseconds.
	creditCallTimeout = 300 * time.Millisecond
	// aloneMargin is added to the exchange interval for the time without an answer after which
	// an instance grants its own part of the quotas.
	aloneMargin = 300 * time.Millisecond
	// heardMargin is added to two exchange intervals for the time in which the coordinator
	// grants the part of an instance that it heard from.
	heardMargin = 100 * time.Millisecond
	// localPercent is the percentage of a burst up to which an amount is granted before the
	// coordinator is told, if all instances do so at the same time.
	localPercent = 50
	// instanceRetention is how long instances that are gone count as possibly cut off.
	instanceRetention = 20 * time.Second
	// minTermAge is added to the exchange interval for the time after which a new coordinator
	// has heard from all instances.
	minTermAge = 200 * time.Millisecond
	// aheadPause is for how long nothing is granted ahead once a quota is used up, or after
	// a call without an answer.
	aheadPause = 500 * time.Millisecond
	// resumeMargin is for how long after a stand-still the coordinator answers no questions: those
	// that came meanwhile are read then, and their callers have given up.
	resumeMargin = 100 * time.Millisecond
	// maxExhausted is for how long it is kept that a quota was used up.
	maxExhausted = 10 * time.Second
)

// CreditNeed is a request of an organisation with a quota.
type CreditNeed struct {
	Allowance quota.Allowance
	// Amount is what the request counts, in the unit of the quota.
	Amount float64
	// Patience is how long the request can wait.
	Patience time.Duration
}

// CreditResult is the answer to such a need.
type CreditResult struct {
	Granted bool
	Grant   quota.Grant
	Source  quota.Source
	// Left is what is left of the quota. Wait is the time until it allows the request: after
	// it the request may be sent if it is granted, and its caller may come back otherwise.
	Left float64
	Wait time.Duration
}

// credits is an instance's part in the quotas of organisations: as the coordinator, as one
// that asks it, and on its own while none answers. It is safe for concurrent use.
//
// Requests use it directly, so that a question does not wait for the control goroutine.
type credits struct {
	mu   sync.Mutex
	part *quota.Part
	// ledger is nil while this instance does not coordinate, since termBegan otherwise. Until
	// youngUntil some of the expected instances may not have been heard in the term.
	ledger     *quota.Ledger
	termBegan  time.Time
	youngUntil time.Time
	expected   int
	// number is that of the own term.
	number uint64
	// count is how many instances share the quotas.
	count int
	// lastStep is when the control loop last stepped, zero before, and resumed when it last did so
	// after a stand-still.
	lastStep time.Time
	resumed  time.Time
	// coordinator is the address of the coordinator, empty if none is known.
	coordinator string
	interval    time.Duration
	// contact is when the last call that a coordinator answered began.
	contact time.Time
	// alone means that this instance grants its own part of the quotas, since aloneSince.
	alone      bool
	aloneSince time.Time
	// exchangedAt is when the last exchange that a coordinator answered began, and ownTime for how
	// long this instance has granted its own part since.
	exchangedAt time.Time
	ownTime     time.Duration
	// instances is how many instances there are, as far as this one knows.
	instances instanceCount
	// ahead are the amounts, by organisation, that were granted before the coordinator was
	// asked and that it is to be told next; untold are these and those that it is being told.
	// exhausted are organisations that the coordinator refused until a time.
	ahead     map[string]float64
	untold    map[string]float64
	exhausted map[string]time.Time
	// levels are what this instance knows of the ledgers of others and of its own earlier ones.
	levels *quota.Levels
	// term is the term of the coordinator that answered the last exchange, and levelsTerm that of
	// the one that was told the levels and answered last at levelsAt.
	term       uint64
	levelsTerm uint64
	levelsAt   time.Time
}

func newCredits(now time.Time) *credits {
	return &credits{
		part: quota.NewPart(rand.Float64), contact: now, interval: minExchangeInterval, ahead: make(map[string]float64), untold: make(map[string]float64), exhausted: make(map[string]time.Time),
		levels: quota.NewLevels(), exchangedAt: now,
	}
}

// begin starts a term with a ledger that knows what this instance knows. So many instances are
// expected, 1 if none are known, and exchange in an interval.
func (c *credits) begin(number uint64, expected int, interval time.Duration, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rejoin(now)
	c.ledger, c.termBegan, c.youngUntil = quota.NewLedger(), now, now.Add(interval+minTermAge)
	c.number, c.expected, c.count = number, expected, expected
	if expected > 1 {
		c.ledger.SetShare(0, now)
		c.ledger.SetHeard(0, now)
	}
	c.ledger.Learn(c.levels.Report(math.MaxInt, c.levelsAt, now), c.aloneAfter(), now)
	c.levels.Settle()
}

// end ends a term. The instance remembers its ledger for the next one's, and grants its own part
// until a coordinator answers: none has since its term began.
func (c *credits) end(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, level := range c.ledger.Levels(now) {
		c.levels.See(level.Allowance(), level.Left(), now)
	}
	c.ledger = nil
	c.exchangedAt, c.ownTime, c.levelsAt = now, 0, now
}

// setCoordinator sets where to ask, and the time between two exchanges.
func (c *credits) setCoordinator(address string, interval time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.coordinator, c.interval = address, interval
}

// next is what remains to be done for a need that an instance can't decide on alone.
type next struct {
	// ask is the address of the coordinator to ask, empty if the result is final.
	ask string
	// told means that the amount is granted and the coordinator is told of it.
	told bool
}

// decide decides on a need as one of so many instances, as far as that needs no call.
func (c *credits) decide(need CreditNeed, members int, now time.Time) (CreditResult, next) {
	name := need.Allowance.Organisation()
	granted := CreditResult{Granted: true, Grant: quota.NewGrant(name, need.Amount, now)}
	if grant, ok := c.part.Take(name, need.Amount, now); ok {
		granted.Grant, granted.Source = grant, quota.Returned
		return granted, next{}
	}
	c.mu.Lock()
	// A new coordinator's list of members is short at first.
	c.instances.see(members, now)
	members = c.instances.count
	coordinates, alone, address := c.ledger != nil, c.alone, c.coordinator
	small := !coordinates && !alone && address != "" && c.isSmall(need, now)
	if small {
		c.untold[name] += need.Amount
	}
	c.mu.Unlock()
	switch {
	case coordinates:
		return creditResult(c.answer(encodeCreditNeed(need, false), now), granted), next{}
	case alone && c.part.Allow(need.Allowance, need.Amount, members, now):
		granted.Source = quota.Own
		return granted, next{}
	case alone:
		return CreditResult{}, next{}
	case address == "":
		c.unanswered(now)
		return CreditResult{}, next{}
	case small:
		granted.Source = quota.Local
		return granted, next{ask: address, told: true}
	default:
		return granted, next{ask: address}
	}
}

// isSmall reports whether an amount may be granted before the coordinator is told: all instances
// may have granted as much that it doesn't know of, as many as they may be.
func (c *credits) isSmall(need CreditNeed, now time.Time) bool {
	name := need.Allowance.Organisation()
	if c.instances.count == 0 || now.Sub(c.instances.grown) < c.interval+minTermAge || !now.After(c.exhausted[name]) {
		return false
	}
	return (c.untold[name]+c.levels.Owed(name, now)+need.Amount)*float64(c.instances.count) <= need.Allowance.Burst()*localPercent/100
}

// told records that the coordinator was told of an amount, or doesn't answer.
func (c *credits) told(name string, amount float64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.untold[name] -= amount; c.untold[name] <= 0 {
		delete(c.untold, name)
	}
}

// Credit asks whether an organisation's quota allows a request.
func (l *Loop) Credit(ctx context.Context, need CreditNeed) CreditResult {
	now := clock.Now()
	result, call := l.credits.decide(need, len(l.View().Members()), now)
	switch {
	case call.ask == "":
		return result
	case call.told:
		l.grantAhead(call.ask, need)
		return result
	default:
		return l.askCredit(ctx, call.ask, encodeCreditNeed(need, false), result, now)
	}
}

// ReturnCredit gives back what was granted for a request that no upstream ran.
func (l *Loop) ReturnCredit(grant quota.Grant) { l.credits.part.Return(grant, clock.Now()) }

// askCredit asks the coordinator at an address. granted is the result if it grants.
func (l *Loop) askCredit(ctx context.Context, address string, request *syncpb.CreditRequest, granted CreditResult, now time.Time) CreditResult {
	ctx, cancel := context.WithTimeout(ctx, creditCallTimeout)
	defer cancel()
	reply, err := l.peers.dial(address).Credit(ctx, request)
	if err != nil || !reply.GetCoordinates() {
		l.credits.unanswered(clock.Now())
		return CreditResult{}
	}
	l.credits.answered(request, reply, now)
	return creditResult(reply, granted)
}

// grantAhead tells the coordinator of an amount that this instance granted. The amounts of
// an organisation that come while a call is in flight go with the next one.
func (l *Loop) grantAhead(address string, need CreditNeed) {
	c, name := l.credits, need.Allowance.Organisation()
	c.mu.Lock()
	defer c.mu.Unlock()
	_, inFlight := c.ahead[name]
	c.ahead[name] += need.Amount
	if inFlight {
		return
	}
	go func() {
		for amount := c.takeAhead(name); amount > 0; amount = c.takeAhead(name) {
			request := encodeCreditNeed(CreditNeed{Allowance: need.Allowance, Amount: amount}, true)
			began := clock.Now()
			result := l.askCredit(l.ctx, address, request, CreditResult{Granted: true}, began)
			c.told(name, amount)
			if result.Source == quota.Unanswered {
				c.owe(need.Allowance, amount, began)
			}
			if !result.Granted {
				// Refused, or not answered: nothing bounds what would be granted ahead then.
				c.exhaust(name, clock.Now().Add(aheadPause))
			}
		}
	}()
}

// takeAhead returns the amount that was granted ahead and is not told yet. Without any, the
// organisation has no call in flight any more.
func (c *credits) takeAhead(name string) float64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	amount := c.ahead[name]
	if amount == 0 {
		delete(c.ahead, name)
		return 0
	}
	c.ahead[name] = 0
	return amount
}

// exhaust records that an organisation's quota is used up until a time.
func (c *credits) exhaust(name string, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for other, known := range c.exhausted {
		if known.Before(until.Add(-maxExhausted)) {
			delete(c.exhausted, other)
		}
	}
	c.exhausted[name] = until
}

// stepped records a step of the control loop, which shows whether the process stood still before.
func (c *credits) stepped(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.lastStep.IsZero() && now.Sub(c.lastStep) > creditCallTimeout {
		c.resumed = now
	}
	c.lastStep = now
}

// Credit implements syncpb.Sync.
func (s *Server) Credit(_ context.Context, request *syncpb.CreditRequest) (*syncpb.CreditReply, error) {
	return s.loop.credits.answer(request, clock.Now()), nil
}

// answer decides as the coordinator.
func (c *credits) answer(request *syncpb.CreditRequest, now time.Time) *syncpb.CreditReply {
	c.mu.Lock()
	ledger, number, young := c.ledger, c.number, now.Before(c.youngUntil)
	outdated := !c.lastStep.IsZero() && (now.Sub(c.lastStep) > creditCallTimeout || now.Sub(c.resumed) < resumeMargin)
	c.mu.Unlock()
	if ledger == nil {
		return &syncpb.CreditReply{}
	}
	allowance := requestAllowance(request)
	if request.GetAhead() {
		left := ledger.Debit(allowance, request.GetAmount(), now)
		return &syncpb.CreditReply{Coordinates: true, Granted: left >= 0, Left: left, Tenure: number}
	}
	if outdated {
		return &syncpb.CreditReply{}
	}
	granted, left, wait := ledger.Ask(allowance, request.GetAmount(), time.Duration(request.GetPatienceMs())*time.Millisecond, now)
	// Until all instances have been heard, the ledger may grant but a part of the rate, and
	// its refusals would be premature.
	return &syncpb.CreditReply{Coordinates: granted || !young, Granted: granted, Left: left, WaitMs: wait.Milliseconds(), Tenure: number}
}

func encodeCreditNeed(need CreditNeed, ahead bool) *syncpb.CreditRequest {
	a := need.Allowance
	return &syncpb.CreditRequest{Organisation: a.Organisation(), Catalog: a.Version(), PerSecond: a.PerSecond(), Burst: a.Burst(), Amount: need.Amount, Ahead: ahead, PatienceMs: need.Patience.Milliseconds()}
}

// requestAllowance returns the quota that a question is about.
func requestAllowance(request *syncpb.CreditRequest) quota.Allowance {
	return quota.NewAllowance(request.GetOrganisation(), request.GetCatalog(), request.GetPerSecond(), request.GetBurst())
}

// creditResult returns the result of a coordinator's answer. granted is the result if it
// grants.
func creditResult(reply *syncpb.CreditReply, granted CreditResult) CreditResult {
	switch {
	case !reply.GetCoordinates():
		return CreditResult{}
	case reply.GetGranted():
		granted.Source, granted.Wait = quota.Coordinator, time.Duration(reply.GetWaitMs())*time.Millisecond
		return granted
	default:
		return CreditResult{Source: quota.Coordinator, Left: reply.GetLeft(), Wait: time.Duration(reply.GetWaitMs()) * time.Millisecond}
	}
}
