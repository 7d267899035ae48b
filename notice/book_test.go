package notice_test

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	cardamom "cardamomcourse.example/cardamom"
	"cardamomcourse.example/cardamom/notice"
)

// said is a notice as an upstream gave it.
type said struct {
	run     notice.Run
	leaving bool
	until   time.Time
}

// TestBook compares the book with a list of all that was said, on random histories in which
// upstreams start again and older news arrives late.
func TestBook(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		book := notice.NewBook()
		now := time.Unix(1000, 0)
		listed := map[cardamom.UpstreamID]int64{"a": 1, "b": 1, "c": 1}
		var all []said
		for range rapid.IntRange(1, 80).Draw(t, "events") {
			now = now.Add(time.Duration(rapid.IntRange(0, 900).Draw(t, "gap")) * time.Millisecond)
			id := rapid.SampledFrom([]cardamom.UpstreamID{"a", "b", "c"}).Draw(t, "upstream")
			switch rapid.IntRange(0, 4).Draw(t, "kind") {
			case 0:
				listed[id]++
			case 1:
				run := notice.NewRun(id, listed[id]-rapid.Int64Range(0, 1).Draw(t, "old news"))
				book.Leave(run, now)
				all = append(all, said{run: run, leaving: true})
			case 2:
				run := notice.NewRun(id, listed[id])
				span := time.Duration(rapid.IntRange(0, 4000).Draw(t, "span")) * time.Millisecond
				book.Wait(run, span, now)
				all = append(all, said{run: run, until: now.Add(span)})
			case 3:
				book.Prune(func(id cardamom.UpstreamID) (int64, bool) { return listed[id], true }, now)
			default:
			}
			for id, startedMs := range listed {
				run := notice.NewRun(id, startedMs)
				leaving, until := false, now
				for _, s := range all {
					leaving = leaving || s.leaving && s.run == run
					if s.run == run && s.until.After(until) {
						until = s.until
					}
				}
				if got := book.IsLeaving(run); got != leaving {
					t.Fatalf("%s: leaving is %v, want %v", id, got, leaving)
				}
				got, waits := book.WaitUntil(run, now)
				if waits != until.After(now) || waits && !got.Equal(until) {
					t.Fatalf("%s: waits %v until %v, want %v", id, waits, got, until)
				}
			}
		}
	})
}
