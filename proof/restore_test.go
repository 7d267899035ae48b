package proof_test

import (
	"fmt"
	"math/rand/v2"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/lease"
	"cardamomcourse.example/cardamom/table"
)

const (
	leaseTime = 3 * time.Second
	// walkSteps is the length of one random series of events.
	walkSteps = 120
	// walks is how many series are tried.
	walks = 4000
)

// walkOptions describe the world in which instances compete for the lease.
type walkOptions struct {
	// restores means that the store returns from older copies.
	restores bool
	// told means that the store tells its incarnation.
	told bool
	// fenced means that engines refuse orders with an older fencing token.
	fenced bool
}

// storeState is what a copy of the store has.
type storeState struct {
	row    lease.Row
	number uint64
	// lead is how far the store's clock is ahead of the time of the walk.
	lead time.Duration
}

// rival is an instance that competes for the lease.
type rival struct {
	id    cardamom.InstanceID
	lease *lease.State
	// incarnation is the newest one that the instance has seen on any connection.
	incarnation uint64
	cut         bool
}

// order is an order that reached the engine.
type order struct {
	at     time.Time
	holder cardamom.InstanceID
	token  cardamom.Fence
}

// walk is one random series of reads, writes, orders, cuts, restarts and restores.
type walk struct {
	walkOptions
	random      *rand.Rand
	now         time.Time
	incarnation uint64
	store, copy storeState
	rivals      []*rival
	orders      []order
}

func newWalk(seed uint64, options walkOptions) *walk {
	w := &walk{walkOptions: options, random: rand.New(rand.NewPCG(seed, 24)), now: time.Unix(1000, 0), incarnation: 1}
	for _, id := range []cardamom.InstanceID{"a", "b"} {
		w.rivals = append(w.rivals, &rival{id: id, lease: lease.New(id, leaseTime)})
	}
	w.copy = w.store
	return w
}

// shown returns the incarnation that answers of the store have.
func (w *walk) shown() uint64 {
	if w.told {
		return w.incarnation
	}
	return 0
}

func (w *walk) version(number uint64) uint64 {
	version, ok := table.Version(w.shown(), number)
	Expect(ok).To(BeTrue())
	return version
}

func (w *walk) clock() int64 { return w.now.Add(w.store.lead).UnixMilli() }

func (w *walk) read(r *rival) {
	r.incarnation = max(r.incarnation, w.shown())
	row := w.store.row
	if row.Version != 0 {
		row.Version = w.version(row.Version)
	}
	r.lease.Observe(row, w.shown(), w.clock(), w.now)
}

// write writes the row if it is at the version that the instance expects.
func (w *walk) write(r *rival, released bool) {
	expect := r.lease.Version()
	if expect != 0 && table.Incarnation(expect) != r.incarnation || table.Number(expect) != w.store.row.Version {
		r.lease.Invalidate()
		return
	}
	w.store.number++
	w.store.row = lease.Row{Version: w.store.number, Holder: r.id, Released: released, Renewed: w.clock(), Incarnation: r.lease.Incarnation()}
	lost := r.incarnation != w.shown() || w.random.IntN(8) == 0
	r.incarnation = w.shown()
	switch {
	case released:
		r.lease.Invalidate()
	case lost:
		r.lease.RecordOutage(w.now)
	default:
		r.lease.RecordWrite(w.version(w.store.number), "", w.now)
	}
}

// order sends an order if the instance believes that it may. It returns what is wrong
// with it, empty if nothing is.
func (w *walk) order(r *rival) string {
	if !r.lease.MayOrder(w.now, w.fenced) {
		return ""
	}
	next := order{w.now, r.id, r.lease.FencingToken()}
	var highest cardamom.Fence
	other := false
	for i := len(w.orders) - 1; i >= 0; i-- {
		earlier := w.orders[i]
		highest = max(highest, earlier.token)
		if earlier.token == next.token && earlier.holder != next.holder {
			return fmt.Sprintf("%s and %s have token %d", earlier.holder, next.holder, next.token)
		}
		if w.fenced || next.at.Sub(earlier.at) >= leaseTime {
			continue
		}
		if earlier.holder != next.holder {
			other = true
		} else if other {
			return fmt.Sprintf("%s and another take turns", next.holder)
		}
	}
	if next.token < highest {
		if w.fenced {
			r.lease.Forfeit()
			return ""
		}
		return fmt.Sprintf("token %d after %d", next.token, highest)
	}
	w.orders = append(w.orders, next)
	return ""
}

// step does one random thing and returns what went wrong.
func (w *walk) step() string {
	w.now = w.now.Add(time.Duration(w.random.IntN(400)) * time.Millisecond)
	r := w.rivals[w.random.IntN(len(w.rivals))]
	switch choice := w.random.IntN(100); {
	case choice < 30:
		if !r.cut {
			w.read(r)
		}
	case choice < 55:
		if !r.cut && r.lease.Next(w.now) != lease.Nothing {
			w.write(r, false)
		}
	case choice < 85:
		return w.order(r)
	case choice < 88:
		r.cut = !r.cut
	case choice < 90:
		// A restart forgets everything.
		r.lease, r.incarnation = lease.New(r.id, leaseTime), 0
	case choice < 92:
		if !r.cut && r.lease.Held() {
			w.write(r, true)
		}
	case choice < 94:
		// Another connection of the instance sees the store first.
		if !r.cut {
			r.incarnation = max(r.incarnation, w.shown())
		}
	case choice < 97:
		w.copy = w.store
	default:
		if w.restores {
			w.store = w.copy
			w.store.lead -= time.Duration(w.random.IntN(5000)) * time.Millisecond
			w.incarnation++
		}
	}
	return ""
}

// explore returns what went wrong in a number of walks, each with its seed, and how many
// orders were sent.
func explore(options walkOptions) (faults []string, orders int) {
	for seed := range uint64(walks) {
		w := newWalk(seed, options)
		for range walkSteps {
			if fault := w.step(); fault != "" {
				faults = append(faults, fmt.Sprintf("seed %d: %s", seed, fault))
				break
			}
		}
		orders += len(w.orders)
	}
	return faults, orders
}

var _ = Describe("two instances that compete for the lease", func() {
	for _, fenced := range []bool{false, true} {
		It(fmt.Sprintf("never both order while the store keeps its data (engines check fences: %t)", fenced), func() {
			faults, orders := explore(walkOptions{fenced: fenced})
			Expect(faults).To(BeEmpty())
			Expect(orders).To(BeNumerically(">", walks))
		})

		It(fmt.Sprintf("never both order when the store returns from older copies (engines check fences: %t)", fenced), func() {
			faults, orders := explore(walkOptions{restores: true, told: true, fenced: fenced})
			Expect(faults).To(BeEmpty())
			Expect(orders).To(BeNumerically(">", walks))
		})
	}

	It("do both order if the store does not tell that it returned from an older copy", func() {
		faults, _ := explore(walkOptions{restores: true})
		Expect(faults).NotTo(BeEmpty())
	})

	It("do have one fencing token if the store does not tell that it returned from an older copy", func() {
		faults, _ := explore(walkOptions{restores: true, fenced: true})
		Expect(faults).NotTo(BeEmpty())
	})
})
