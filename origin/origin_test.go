package origin_test

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
	"cardamomcourse.example/cardamom/origin"
)

//go:embed testdata/books.json
var bookScripts []byte

//go:embed testdata/histories.json
var historyScripts []byte

func TestOrigin(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "origin")
}

// zero is the time 0 of the scripts.
var zero = time.Unix(1_000_000, 0)

func at(seconds float64) time.Time {
	return zero.Add(time.Duration(seconds * float64(time.Second)))
}

// readScripts decodes the scripts of a file.
func readScripts[T any](file []byte) []T {
	var scripts []T
	if err := json.Unmarshal(file, &scripts); err != nil {
		panic(err)
	}
	return scripts
}

var knowledge = map[string]origin.Knowledge{"unknown": origin.Unknown, "known": origin.Known, "disputed": origin.Disputed}

// bookStep begins a stream, records what another instance tells, or looks one up.
type bookStep struct {
	AtS      float64 `json:"at_s"`
	Begin    string  `json:"begin"`
	Told     string  `json:"told"`
	AgeS     float64 `json:"age_s"`
	Disputed bool    `json:"disputed"`
	// LastsS is how long streams may last from now on.
	LastsS    float64 `json:"lasts_s"`
	Service   string  `json:"service"`
	Version   string  `json:"version"`
	Find      string  `json:"find"`
	Knowledge string  `json:"knowledge"`
}

var _ = Describe("a book of streams", func() {
	for _, script := range readScripts[struct {
		Name  string     `json:"name"`
		Steps []bookStep `json:"steps"`
	}](bookScripts) {
		It(script.Name, func() {
			book := origin.NewBook()
			run := notice.NewRun("i-1", 7)
			for n, step := range script.Steps {
				service, now := cardamom.ServiceID(step.Service), at(step.AtS)
				switch {
				case step.LastsS > 0:
					book.Allow(at(step.LastsS).Sub(zero))
				case step.Begin != "":
					book.Begin(origin.NewStream(service, step.Begin), origin.New(run, step.Version), now)
				case step.Told != "":
					record := origin.Record{Stream: origin.NewStream(service, step.Told), Origin: origin.New(run, step.Version), Knowledge: origin.Known, At: at(step.AtS - step.AgeS)}
					if step.Disputed {
						record.Knowledge = origin.Disputed
					}
					book.Merge([]origin.Record{record}, now)
				default:
					found, known := book.Find(origin.NewStream(service, step.Find), now)
					Expect(known).To(Equal(knowledge[step.Knowledge]), "step %d", n+1)
					if known == origin.Known {
						Expect(found.Version()).To(Equal(step.Version), "step %d", n+1)
					}
				}
			}
		})
	}

	It("stays bounded however many streams begin", func() {
		book := origin.NewBook()
		for n := range 100_000 {
			book.Begin(origin.NewStream("s", fmt.Sprint(n)), origin.New(notice.Run{}, "v1"), zero)
		}
		Expect(book.Len()).To(BeNumerically("<=", 1<<15))
		_, known := book.Find(origin.NewStream("s", "99999"), zero)
		Expect(known).To(Equal(origin.Known))
	})

	It("tells only the streams that began at its instance", func() {
		book := origin.NewBook()
		book.Begin(origin.NewStream("s", "own"), origin.New(notice.Run{}, "v1"), zero)
		book.Merge([]origin.Record{{Stream: origin.NewStream("s", "told"), Origin: origin.New(notice.Run{}, "v1"), Knowledge: origin.Known, At: zero}}, zero)
		Expect(book.Own(zero)).To(HaveLen(1))
	})
})

var _ = Describe("the origin of a stream", func() {
	first, second := notice.NewRun("i-1", 7), notice.NewRun("i-1", 8)

	It("allows other upstreams with its version", func() {
		Expect(origin.New(first, "v1").Allows(notice.NewRun("i-2", 1), "v1")).To(BeTrue())
	})

	It("allows no upstream with another version, also under the same id", func() {
		Expect(origin.New(first, "v1").Allows(second, "v2")).To(BeFalse())
	})

	It("allows only its own run if the version is unknown", func() {
		Expect(origin.New(first, "").Allows(first, "")).To(BeTrue())
		Expect(origin.New(first, "").Allows(second, "")).To(BeFalse())
		Expect(origin.Origin{}.Allows(notice.Run{}, "")).To(BeFalse())
	})
})

// historyStep lists upstreams, merges an account, or asks for the only version.
type historyStep struct {
	AtS     float64  `json:"at_s"`
	Start   bool     `json:"start"`
	List    []string `json:"list"`
	Account *struct {
		FromStart  bool               `json:"from_start"`
		ConfirmedS float64            `json:"confirmed_s"`
		Seen       map[string]float64 `json:"seen"`
	} `json:"account"`
	Sole *string `json:"sole"`
	// LastsS is how long streams may last from now on.
	LastsS float64 `json:"lasts_s"`
	// Begins and Waits are versions at which streams may begin, and may not yet.
	Begins string `json:"begins"`
	Waits  string `json:"waits"`
}

var _ = Describe("the history of versions", func() {
	for _, script := range readScripts[struct {
		Name  string        `json:"name"`
		Steps []historyStep `json:"steps"`
	}](historyScripts) {
		It(script.Name, func() {
			history := origin.NewHistory()
			for n, step := range script.Steps {
				now := at(step.AtS)
				switch {
				case step.Start:
					history.Start(now)
				case step.Account != nil:
					account := origin.Account{}
					if step.Account.ConfirmedS > 0 {
						account.Confirmed = at(step.Account.ConfirmedS)
					}
					for version, seen := range step.Account.Seen {
						account.Sightings = append(account.Sightings, origin.Sighting{Service: "s", Version: version, First: at(seen), Last: at(seen)})
					}
					history.Merge(account)
				case step.LastsS > 0:
					history.Allow("s", at(step.LastsS).Sub(zero))
				case step.Begins != "":
					may, _ := history.Snapshot().MayBegin("s", step.Begins, now)
					Expect(may).To(BeTrue(), "step %d", n+1)
				case step.Waits != "":
					may, _ := history.Snapshot().MayBegin("s", step.Waits, now)
					Expect(may).To(BeFalse(), "step %d", n+1)
				case step.Sole != nil:
					version, _ := history.Snapshot().Sole("s", now)
					Expect(version).To(Equal(*step.Sole), "step %d", n+1)
				default:
					for _, version := range step.List {
						history.See("s", version, now)
					}
					history.Confirm(now)
				}
			}
		})
	}

	It("tells nothing rather than a part of too many versions", func() {
		history := origin.NewHistory()
		history.Start(zero)
		for n := range 1000 {
			history.See("s", fmt.Sprint(n), zero)
		}
		history.Confirm(zero)
		Expect(history.Account(zero)).To(Equal(origin.Account{}))
	})
})

// world is what really happens in a random history: instances that list the upstreams late or
// not at all, tell each other, and start again; and streams, each at one version.
type world struct {
	random    *rand.Rand
	histories []*origin.History
	books     []*origin.Book
	// versions are those that are listed, each with the time since which it is.
	versions map[string]time.Time
	began    map[string]string
	at       map[string]time.Time
}

// listed returns the versions that are listed, in random order. The order depends on the seed
// only, so that a history can be played again.
func (w *world) listed() []string {
	versions := slices.Sorted(maps.Keys(w.versions))
	w.random.Shuffle(len(versions), func(a, b int) { versions[a], versions[b] = versions[b], versions[a] })
	return versions
}

func (w *world) instance() int { return w.random.IntN(len(w.histories)) }

// step lets something random happen.
func (w *world) step(now time.Time) {
	i, j := w.instance(), w.instance()
	switch w.random.IntN(12) {
	case 0:
		version := fmt.Sprintf("v%d", w.random.IntN(4))
		if _, ok := w.versions[version]; !ok && w.random.IntN(8) == 0 {
			w.versions[version] = now
		}
	case 1:
		if len(w.versions) > 1 {
			if version := w.listed()[0]; now.Sub(w.versions[version]) > 30*time.Second {
				delete(w.versions, version)
			}
		}
	case 2:
		w.histories[i], w.books[i] = origin.NewHistory(), origin.NewBook()
	case 3, 4:
		w.histories[i].Merge(w.histories[j].Account(now))
	default:
		for _, version := range w.listed() {
			w.histories[i].See("s", version, now)
		}
		w.histories[i].Confirm(now)
	}
}

// begin begins a stream at an instance that has just listed the versions, at the first one
// that may begin one.
func (w *world) begin(id string, now time.Time) {
	i := w.instance()
	for _, listed := range w.listed() {
		w.histories[i].See("s", listed, now)
	}
	w.histories[i].Confirm(now)
	for _, version := range w.listed() {
		if may, _ := w.histories[i].Snapshot().MayBegin("s", version, now); !may {
			continue
		}
		record := w.books[i].Begin(origin.NewStream("s", id), origin.New(notice.NewRun("u", 1), version), now)
		w.books[w.instance()].Merge([]origin.Record{record}, now)
		w.began[id], w.at[id] = version, now
		return
	}
}

var _ = Describe("what instances infer of streams", func() {
	It("is never another version than the one that began them, on random histories", func() {
		seed := GinkgoRandomSeed()
		inferred := 0
		for run := range 60 {
			w := &world{random: rand.New(rand.NewPCG(uint64(seed), uint64(run))), versions: map[string]time.Time{"v0": zero}, began: make(map[string]string), at: make(map[string]time.Time)}
			for range 4 {
				w.histories, w.books = append(w.histories, origin.NewHistory()), append(w.books, origin.NewBook())
			}
			now := zero
			for n := range 700 {
				now = now.Add(time.Duration(w.random.Int64N(int64(900 * time.Millisecond))))
				w.step(now)
				if n%3 == 0 {
					w.begin(fmt.Sprint(n), now)
				}
				for _, id := range slices.Sorted(maps.Keys(w.began)) {
					version := w.began[id]
					if now.Sub(w.at[id]) >= origin.Lifetime {
						continue
					}
					i := w.instance()
					if sole, ok := w.histories[i].Snapshot().Sole("s", now); ok {
						inferred++
						Expect(sole).To(Equal(version), "seed %d run %d stream %s", seed, run, id)
					}
					if found, known := w.books[i].Find(origin.NewStream("s", id), now); known == origin.Known {
						Expect(found.Version()).To(Equal(version), "seed %d run %d stream %s", seed, run, id)
					}
				}
			}
		}
		Expect(inferred).To(BeNumerically(">", 1000))
	})
})
