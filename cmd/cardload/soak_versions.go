package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"regexp"
	"slices"
	"strings"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakEventPause is the pause between two events of engines with versions, so that
	// faults meet streams midway.
	soakEventPause = 80 * time.Millisecond
	// soakTakenUp is the number of taken up streams from which their share counts, and
	// soakContact how long before a request its instance must not have been disturbed.
	soakTakenUp = 12
	soakContact = 3 * time.Second
	// soakNear is how near to one that is taken up a new stream has to begin to be compared.
	soakNear = time.Second
	// soakReturns is how often a caller comes back for the rest of a stream.
	soakReturns = 2
)

// versionMark matches the version in an event, and eventID an event's id.
var (
	versionMark = regexp.MustCompile(` of v\d+`)
	eventID     = regexp.MustCompile(`(?m)^id: (\d+)$`)
)

// takenUp is a caller's return for the rest of a stream.
type takenUp struct {
	// has is what the caller has of the stream.
	has string
	// served is the number of engines with the stream's version that served at that time.
	served int
}

// releaseEngine replaces an engine by one with a version that may be new.
func releaseEngine(s *soak, random *rand.Rand, _ time.Duration) func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	var live []*host.Upstream
	for _, upstream := range s.site.Upstreams {
		if upstream.Service() == "models" && upstream.DrainingSince().IsZero() && upstream.Crashes() == 0 {
			live = append(live, upstream)
		}
	}
	s.software = min(s.software+random.IntN(2), 4)
	s.site.Add(host.NewUpstream(s.site.Store, s.upstreamSpec("models")))
	live[random.IntN(len(live))].Drain()
	return nil
}

// serving returns how many engines with a version serve. s.mu must be held.
func (s *soak) serving(version string) int {
	count := 0
	for _, upstream := range s.site.Upstreams {
		if upstream.Version() == version && upstream.DrainingSince().IsZero() && upstream.LeavesFrom().IsZero() && upstream.Crashes() == 0 {
			count++
		}
	}
	return count
}

// takeUp makes a caller come back at other instances for the rest of a stream that broke
// off.
func (s *soak) takeUp(ctx context.Context, first host.Request, got host.Response, random *rand.Rand) {
	has := got.Body[:strings.LastIndex(got.Body, "\n\n")+len("\n\n")]
	for n := range soakReturns {
		ids := eventID.FindAllStringSubmatch(has, -1)
		next := first
		next.ID, next.Resumes, next.LastEventID = fmt.Sprintf("%s-r%d", first.ID, n), first.ID, ids[len(ids)-1][1]
		next.Address = s.site.Instances[random.IntN(len(s.site.Instances))].EntryAddress
		e := &sentRequest{kind: "/resume/", address: next.Address, body: next.Body, began: time.Now(), keys: next.Keys}
		s.mu.Lock()
		e.takenUp = &takenUp{has: has, served: s.serving(host.VersionsIn(has)[0])}
		s.sent[next.ID] = e
		s.mu.Unlock()
		response, err := s.site.Send(context.WithoutCancel(ctx), next)
		s.recordAnswer(e, response, err)
		if err == nil && response.Status == http.StatusOK && response.Complete {
			return
		}
		if err == nil && response.Status == http.StatusOK {
			has += response.Body[:max(strings.LastIndex(response.Body, "\n\n")+len("\n\n"), 0)]
		}
	}
}

// isCutStream reports whether a response broke off after the first event of a stream.
func isCutStream(kind string, response host.Response, err error) bool {
	return kind == "/resume/" && err == nil && response.Status == http.StatusOK && !response.Complete && strings.Contains(response.Body, "\n\n")
}

// checkVersions checks that no stream holds events of two versions, and that streams that
// are taken up go on about as often as new ones begin at these times.
func (s *soak) checkVersions() {
	var returns []*sentRequest
	wentOn := 0
	for id, e := range s.sent {
		body := e.response.Body
		if e.takenUp != nil {
			body = e.takenUp.has + body
		}
		if versions := host.VersionsIn(body); e.answered && len(versions) > 1 {
			s.addViolation(fmt.Sprintf("%s holds events of %s", id, strings.Join(versions, " and ")))
		}
		if e.takenUp != nil && e.takenUp.served >= 2 && s.isInTouch(e) {
			returns = append(returns, e)
			if e.isServed() {
				wentOn++
			}
		}
	}
	began, newStreams := 0, 0
	for _, e := range s.sent {
		if e.kind != "/resume/" || e.part != "" || e.isHot || e.invalidKey || e.takenUp != nil || !s.isInTouch(e) || !isNear(returns, e.began) {
			continue
		}
		newStreams++
		if e.isServed() {
			began++
		}
	}
	s.wire.Returns += len(returns)
	if len(returns) >= soakTakenUp && 2*wentOn*newStreams < began*len(returns) {
		s.addViolation(fmt.Sprintf("%d of %d streams went on, %d of %d new ones began", wentOn, len(returns), began, newStreams))
	}
}

// isServed reports whether the caller got a success.
func (e *sentRequest) isServed() bool { return e.answered && e.response.Status == http.StatusOK }

// isNear reports whether a time is within soakNear of one of the requests.
func isNear(requests []*sentRequest, at time.Time) bool {
	return slices.ContainsFunc(requests, func(e *sentRequest) bool { return at.Sub(e.began).Abs() < soakNear })
}
