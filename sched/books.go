package sched

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// firstSpeed is the speed in tokens per millisecond that is expected of the engines of a
	// service of which nothing is known.
	firstSpeed = 20
	// maxBooks bounds the books of an instance; there are fewer upstreams.
	maxBooks = 4096
	// bookIdleTime is how long an unused book is kept.
	bookIdleTime = 5 * time.Minute
	// sweepInterval is the time between two sweeps of the books.
	sweepInterval = time.Second
)

// Run identifies a run of an upstream.
type Run struct {
	Upstream  cardamom.UpstreamID
	StartedMs int64
}

type keptBook struct {
	book *Book
	used time.Time
}

// Books are the books of the upstreams whose scheduler an instance is. They are safe for
// concurrent use.
type Books struct {
	mu    sync.Mutex
	books map[Run]*keptBook
	// speeds has the last speed of each service, for new books.
	speeds map[cardamom.ServiceID]float64
	swept  time.Time
}

// NewBooks returns no books.
func NewBooks() *Books {
	return &Books{books: make(map[Run]*keptBook), speeds: make(map[cardamom.ServiceID]float64)}
}

// Reserve answers a request for a prompt to be sent to an upstream. alive tells which
// instances exist; requests of others are dropped.
func (s *Books) Reserve(run Run, r Request, alive func(cardamom.InstanceID) bool, now time.Time) Answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sweep(alive, now)
	kept, ok := s.books[run]
	if !ok {
		if len(s.books) >= maxBooks {
			return Answer{kind: Send}
		}
		speed, known := s.speeds[r.Service]
		if !known {
			speed = firstSpeed
		}
		kept = &keptBook{book: NewBook(speed)}
		s.books[run] = kept
	}
	kept.used = now
	answer := kept.book.Reserve(r, now)
	s.speeds[r.Service] = kept.book.Speed(r.Model)
	return answer
}

// FirstEvent records that the first event of a request has arrived.
func (s *Books) FirstEvent(run Run, id uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept, ok := s.books[run]; ok {
		kept.book.FirstEvent(id, now)
	}
}

// Ended records that a request has ended, or no longer wants this upstream.
func (s *Books) Ended(run Run, id uint64, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept, ok := s.books[run]; ok {
		kept.book.Ended(id, now)
	}
}

// Requests returns the number of requests in the book of an upstream.
func (s *Books) Requests(run Run) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	if kept, ok := s.books[run]; ok {
		return kept.book.Len()
	}
	return 0
}

// Len returns the number of books.
func (s *Books) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.books)
}

// sweep drops unused books and the requests of instances that are gone.
func (s *Books) sweep(alive func(cardamom.InstanceID) bool, now time.Time) {
	if now.Sub(s.swept) < sweepInterval {
		return
	}
	s.swept = now
	for run, kept := range s.books {
		if now.Sub(kept.used) > bookIdleTime {
			delete(s.books, run)
			continue
		}
		kept.book.KeepSenders(alive, now)
	}
}

// Scheduler returns the instance that schedules an upstream, by rendezvous hashing, and false
// if there is none. All instances that know the same members choose the same.
func Scheduler(upstream cardamom.UpstreamID, members []cardamom.InstanceID) (cardamom.InstanceID, bool) {
	seed := xxhash.Sum64String(string(upstream))
	var best cardamom.InstanceID
	var highest uint64
	for n, id := range members {
		if weight := mix(seed ^ xxhash.Sum64String(string(id))); n == 0 || weight > highest || weight == highest && id < best {
			best, highest = id, weight
		}
	}
	return best, len(members) > 0
}

// mix spreads the bits of a hash, as the finalizer of MurmurHash3 does.
func mix(h uint64) uint64 {
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}
