package coord

import (
	"time"

	"cardamomcourse.example/cardamom/quota"
	"cardamomcourse.example/cardamom/syncpb"
)

const (
	// maxTold bounds the levels that all instances together tell a new coordinator: about 1 MB, which
	// its link carries besides the other exchanges.
	maxTold = 16384
	// maxToldByOne bounds those of one instance.
	maxToldByOne = 256
)

// answered records a coordinator's answer to a question that was asked at a time. Until this instance
// has told a new coordinator what it knows, that one's levels may be too high.
func (c *credits) answered(request *syncpb.CreditRequest, reply *syncpb.CreditReply, began time.Time) {
	c.contacted(began)
	c.mu.Lock()
	defer c.mu.Unlock()
	if term := reply.GetTenure(); term != 0 && term == c.levelsTerm {
		c.levels.See(requestAllowance(request), reply.GetLeft(), began)
	}
}

// owe records that an amount was granted at a time and that the coordinator did not confirm it: the
// next one is to be told.
func (c *credits) owe(allowance quota.Allowance, amount float64, at time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger != nil {
		c.ledger.Debit(allowance, amount, at)
		return
	}
	c.levels.Owe(allowance, amount, at)
}

// tellsLevels reports whether the coordinator that answered last is to be told what this instance
// knows of the ledgers before it.
func (c *credits) tellsLevels() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.term != c.levelsTerm
}

// report returns what this instance knows of the ledgers of other terms.
func (c *credits) report(now time.Time) []quota.Level {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.levels.Report(min(maxTold/max(c.instances.count, 1), maxToldByOne), c.levelsAt, now)
}

// exchanged records that the coordinator of a term answered an exchange that began at a time, in which
// it was told levels or not, and reports whether it is to be told them soon.
func (c *credits) exchanged(term uint64, told bool, began time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if told {
		c.levels.Settle()
	}
	if told || c.levelsTerm != term && len(c.levels.Report(1, c.levelsAt, began)) == 0 {
		c.levelsTerm = term
	}
	if c.levelsTerm == term {
		c.levelsAt = began
	}
	c.term, c.exchangedAt, c.ownTime = term, began, 0
	return c.levelsTerm != term
}

// learn corrects the ledger by the levels that a member knows.
func (c *credits) learn(levels []quota.Level, now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ledger != nil {
		c.ledger.Learn(levels, c.aloneAfter(), now)
	}
}

func encodeLevels(levels []quota.Level, now time.Time) []*syncpb.QuotaLevel {
	list := make([]*syncpb.QuotaLevel, 0, len(levels))
	for _, v := range levels {
		a := v.Allowance()
		list = append(list, &syncpb.QuotaLevel{Organisation: a.Organisation(), Catalog: a.Version(), PerSecond: a.PerSecond(), Burst: a.Burst(), Level: v.Left(), AgeMs: now.Sub(v.At()).Milliseconds(), Untold: v.Untold()})
	}
	return list
}

func decodeLevels(list []*syncpb.QuotaLevel, now time.Time) []quota.Level {
	levels := make([]quota.Level, 0, len(list))
	for _, wire := range list {
		allowance := quota.NewAllowance(wire.GetOrganisation(), wire.GetCatalog(), wire.GetPerSecond(), wire.GetBurst())
		levels = append(levels, quota.NewLevel(allowance, wire.GetLevel(), now.Add(-time.Duration(wire.GetAgeMs())*time.Millisecond), wire.GetUntold()))
	}
	return levels
}
