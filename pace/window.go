package pace

import (
	"time"

	cardamom "cardamomcourse.example/cardamom"
)

const (
	// longGapPercent and shortGapPercent are the percentages of a stream's target gap
	// above which a gap makes the window smaller and below which it may make it larger.
	longGapPercent  = 85
	shortGapPercent = 60
	// windowDecrease and windowIncrease are the factors by which the window changes at
	// a time. Their ratio sets how rare long gaps become.
	windowDecrease = 0.9
	windowIncrease = 1.03
	// usedPercent is the percentage of the window that must be in use for a short gap
	// to show that more is possible.
	usedPercent = 80
	// minWindow is the smallest window in tokens. One prompt may always be sent.
	minWindow = 64
	// recentPromptTime is how long sent prompts are kept.
	recentPromptTime = time.Second
	// gapSpan is the time before the end of a gap, as a multiple of the target gap, in
	// which a prompt that was sent may have caused it.
	gapSpan = 1.5
)

// sentPrompt is a prompt that was sent to an engine.
type sentPrompt struct {
	at     time.Time
	tokens int
}

// promptWindow is how many prompt tokens this instance may send to one engine of a
// service within a stream's target gap.
//
// An engine reads prompts between the tokens of running requests, so that many prompts
// at a time make long gaps in all streams of the engine. How many it can read is not
// published, and neither is what other instances send. The window follows the gaps in
// this instance's streams instead: it shrinks with each long gap in which the instance
// took part, and grows while gaps are short though it is used.
type promptWindow struct {
	tokens float64
	// changed is when gaps of an engine's streams last changed the window.
	changed map[cardamom.UpstreamID]time.Time
}

// maxWindowEngines bounds the engines of which a window keeps the last change.
const maxWindowEngines = 2048

// Window returns how many prompt tokens may be sent to one engine of the service within
// a target gap, 0 if that is not known yet.
func (t *Tracker) Window(service cardamom.ServiceID) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w, ok := t.windows[service]; ok {
		return int(w.tokens)
	}
	return 0
}

// RecentTokens returns the tokens of the prompts that were sent to an engine within the
// span before now.
func (t *Tracker) RecentTokens(id cardamom.UpstreamID, span time.Duration, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.recentTokens(id, span, now)
}

func (t *Tracker) recentTokens(id cardamom.UpstreamID, span time.Duration, now time.Time) int {
	s, ok := t.upstreams[id]
	if !ok {
		return 0
	}
	sum := 0
	for _, p := range s.recent {
		if now.Sub(p.at) < span {
			sum += p.tokens
		}
	}
	return sum
}

// Gap records the time between two events of a stream at an engine of the service.
func (t *Tracker) Gap(service cardamom.ServiceID, id cardamom.UpstreamID, gap, target time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w, ok := t.windows[service]
	if !ok || now.Sub(w.changed[id]) <= target {
		return
	}
	recent := t.recentTokens(id, time.Duration(gapSpan*float64(target)), now)
	switch {
	case gap > target*longGapPercent/100 && recent > 0:
		w.change(id, windowDecrease, now)
	case gap < target*shortGapPercent/100 && float64(recent) >= w.tokens*usedPercent/100:
		w.change(id, windowIncrease, now)
	}
}

// change multiplies the window by a factor, since gaps of an engine's streams ask for
// it.
func (w *promptWindow) change(id cardamom.UpstreamID, factor float64, now time.Time) {
	w.tokens = max(w.tokens*factor, minWindow)
	if len(w.changed) >= maxWindowEngines {
		clear(w.changed)
	}
	w.changed[id] = now
}

// prompt records a prompt that is sent to an engine. The first prompt of a service is
// its first window.
func (t *Tracker) prompt(s *upstreamWaits, service cardamom.ServiceID, tokens int, now time.Time) {
	if tokens <= 0 {
		return
	}
	if _, ok := t.windows[service]; !ok {
		t.windows[service] = &promptWindow{tokens: max(float64(tokens), minWindow), changed: make(map[cardamom.UpstreamID]time.Time)}
	}
	for len(s.recent) > 0 && now.Sub(s.recent[0].at) > recentPromptTime {
		s.recent = s.recent[1:]
	}
	s.recent = append(s.recent, sentPrompt{now, tokens})
}
