package cells

import (
	"sort"
	"time"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/engine"
	"cardamomcourse.example/cardamom/policy"
)

// Relative time until a model is ready, by the tier that holds its checkpoint.
const (
	memoryLoadCost = 0.1
	diskLoadCost   = 0.4
	remoteLoadCost = 1.0
	// concurrentLoadCost is added for each load in flight on the same upstream.
	concurrentLoadCost = 0.5
	// evictionCost is added for each replica that must be evicted first.
	evictionCost = 0.25
)

// candidate is an upstream that could load a model.
type candidate struct {
	id      cardamom.UpstreamID
	victims []cardamom.ModelID
	// cost is the relative time until the model is ready there.
	cost float64
	// free is the free memory in MB before any eviction.
	free int
}

// choose returns the upstream on which the model is ready soonest, with the
// replicas to evict there first.
func (r *round) choose(model *policy.Model) (cardamom.UpstreamID, []cardamom.ModelID, bool) {
	var best *candidate
	for _, id := range r.upstreamIDs() {
		c, ok := r.evaluate(id, model)
		if ok && (best == nil || c.cost < best.cost || c.cost == best.cost && c.free > best.free) {
			best = c
		}
	}
	if best == nil {
		return "", nil, false
	}
	return best.id, best.victims, true
}

func (r *round) evaluate(id cardamom.UpstreamID, model *policy.Model) (*candidate, bool) {
	u := r.cell.upstreams[id]
	if u.listed.State != cardamom.Live || !u.trusted(r.now) || u.count(model.ID()) > 0 || u.hasUnsettledOrder() {
		return nil, false
	}
	if u.retryAfter[model.ID()].After(r.now) {
		return nil, false
	}
	if model.Base() != "" && !u.serves(model.Base()) {
		return nil, false
	}
	tier := u.tier(model.ID())
	if tier == cardamom.TierRemote && r.freeStreams <= 0 {
		return nil, false
	}
	c := &candidate{id: id, free: u.memory - u.reservedMemory()}
	c.cost = loadCost(tier)
	for _, loaded := range u.loaded {
		if loaded.State == engine.Loading {
			c.cost += concurrentLoadCost
		}
	}
	if c.free < model.Memory() {
		victims, ok := r.victims(u, model, model.Memory()-c.free)
		if !ok {
			return nil, false
		}
		c.victims = victims
		c.cost += evictionCost * float64(len(victims))
	}
	return c, true
}

// hasUnsettledOrder reports whether a load or unload on the upstream is pending.
func (u *upstream) hasUnsettledOrder() bool {
	for _, p := range u.pending {
		if p.order.Kind != engine.OrderFence {
			return true
		}
	}
	return false
}

func (u *upstream) serves(model cardamom.ModelID) bool {
	loaded, ok := u.loaded[model]
	_, draining := u.draining[model]
	return ok && !draining && loaded.State == engine.Ready
}

func (u *upstream) tier(model cardamom.ModelID) cardamom.Tier {
	if tier, ok := u.cached[model]; ok {
		return tier
	}
	return cardamom.TierRemote
}

func loadCost(tier cardamom.Tier) float64 {
	switch tier {
	case cardamom.TierMemory:
		return memoryLoadCost
	case cardamom.TierDisk:
		return diskLoadCost
	default:
		return remoteLoadCost
	}
}

// victims returns idle replicas to evict so that need MB become free: first those
// that are already draining, then the least recently used.
func (r *round) victims(u *upstream, model *policy.Model, need int) ([]cardamom.ModelID, bool) {
	var idle []cardamom.ModelID
	for _, id := range sortedKeys(u.loaded) {
		if u.loaded[id].State == engine.Ready && id != model.Base() && !u.inUse(id, r) && !r.atMinWarm(id) {
			idle = append(idle, id)
		}
	}
	sort.SliceStable(idle, func(i, j int) bool {
		_, left := u.draining[idle[i]]
		_, right := u.draining[idle[j]]
		if left != right {
			return left
		}
		return r.lastUse(idle[i]).Before(r.lastUse(idle[j]))
	})
	for n, id := range idle {
		need -= u.loaded[id].Memory
		if need <= 0 {
			return idle[:n+1], true
		}
	}
	return nil, false
}

// atMinWarm reports whether the model has no more ready replicas than its profile
// keeps loaded without demand.
func (r *round) atMinWarm(id cardamom.ModelID) bool {
	model, ok := r.cell.document.Model(id)
	return ok && r.cell.readyCount(id) <= model.Profile().MinWarm()
}

func (r *round) lastUse(id cardamom.ModelID) time.Time { return r.cell.historyOf(id).LastUse() }

// loadStreams returns how many loads of this cell may read the weight store at once.
func (c *Cell) loadStreams() int {
	for _, service := range c.document.Services() {
		for _, cell := range service.Cells() {
			if cell == c.id {
				return service.LoadStreams(c.id)
			}
		}
	}
	return 1
}

// remoteLoads returns how many loads of this cell may be reading the weight store.
func (c *Cell) remoteLoads() int {
	count := 0
	for _, u := range c.upstreams {
		for model, loaded := range u.loaded {
			if loaded.State == engine.Loading && u.tier(model) == cardamom.TierRemote {
				count++
			}
		}
		for _, p := range u.pending {
			_, held := u.loaded[p.order.Model]
			if p.order.Kind == engine.OrderLoad && !held && u.tier(p.order.Model) == cardamom.TierRemote {
				count++
			}
		}
	}
	return count
}
