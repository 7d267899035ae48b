package poison_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"cardamomcourse.example/cardamom/poison"
)

const (
	// noticeTime is how long after the fifth death instances keep to what all of them know.
	noticeTime = 3 * time.Second
	// maxAfterNotice is how many requests with the part may be sent from then on.
	maxAfterNotice = 3
)

// sentPrompt is a prompt that an upstream runs.
type sentPrompt struct {
	instance int
	parts    []string
	sent     time.Time
	ends     time.Time
	// end ends the admission of one with a suspected part.
	end func()
	bad bool
}

// TestCrashes checks, on random histories of instances that exchange what they know and
// may start again, that a part that crashes upstreams is soon sent no more, and that no
// other part is refused in the end.
func TestCrashes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tick = 20 * time.Millisecond
		instances := rapid.IntRange(1, 12).Draw(t, "instances")
		badPrompts := rapid.SampledFrom([][]string{{"first", "bad"}, {"bad", "first"}, {"bad"}, {"first", "other", "bad"}}).Draw(t, "bad prompts")
		everyMS := rapid.IntRange(20, 1500).Draw(t, "time between bad prompts")
		startMS := rapid.IntRange(0, 3000).Draw(t, "start of bad prompts")
		restartMS := rapid.IntRange(0, 20000).Draw(t, "start of an instance again")
		massMS := rapid.IntRange(0, 20000).Draw(t, "end of all upstreams")
		held := time.Duration(rapid.IntRange(0, 2).Draw(t, "seconds held back")) * time.Second
		ledgers := make([]*poison.Parts, instances)
		for i := range ledgers {
			ledgers[i] = poison.NewParts()
		}
		ledgers[0].AllowTrials(true)
		hub := poison.NewParts()
		began := time.Unix(1000, 0)
		var running []sentPrompt
		var deaths, sent []time.Time
		number, restarted, ended := 0, false, false
		send := func(i int, parts []string, bad bool, now time.Time) {
			verdict, part := ledgers[i].Verdict("s", parts, now)
			if verdict == poison.Refused {
				return
			}
			prompt := sentPrompt{instance: i, parts: parts, sent: now, ends: now.Add(120 * time.Millisecond), bad: bad}
			if verdict == poison.Suspected {
				end, ok := ledgers[i].Begin("s", part, held)
				if !ok {
					return
				}
				prompt.end = end
			}
			if bad {
				sent = append(sent, now)
			}
			running = append(running, prompt)
		}
		now := began
		for ; now.Sub(began) < 25*time.Second; now = now.Add(tick) {
			elapsed := int(now.Sub(began).Milliseconds())
			step := elapsed / int(tick.Milliseconds())
			if !restarted && elapsed >= restartMS {
				restarted = true
				ledgers[0] = poison.NewParts()
				ledgers[0].AllowTrials(true)
				ledgers[0].Merge(hub.Evidence(now), now)
			}
			if i := step % 20; i < instances {
				hub.Merge(ledgers[i].News(now), now)
				ledgers[i].Merge(hub.News(now), now)
			}
			if elapsed >= startMS && elapsed%everyMS < int(tick.Milliseconds()) {
				send(rapid.IntRange(0, instances-1).Draw(t, "instance"), badPrompts, true, now)
			}
			send(step%instances, []string{"first", fmt.Sprintf("own%d", step%7), "other"}, false, now)
			mass := !ended && elapsed >= massMS
			ended = ended || mass
			var left []sentPrompt
			for _, p := range running {
				if p.ends.After(now) && !mass {
					left = append(left, p)
					continue
				}
				ledger := ledgers[p.instance]
				if p.bad || mass {
					number++
					ledger.Died("s", p.parts, poison.NewDeath(fmt.Sprintf("u%d", number), p.sent, now, true), now)
					if p.bad {
						deaths = append(deaths, now)
					}
				} else {
					ledger.Survived("s", p.parts, now)
				}
				if p.end != nil {
					p.end()
				}
			}
			running = left
		}
		if len(deaths) >= 5 {
			late := 0
			for _, at := range sent {
				if at.After(deaths[4].Add(noticeTime)) {
					late++
				}
			}
			if late > maxAfterNotice {
				t.Fatalf("%d requests with the part were sent later than %v after the fifth death; %d deaths", late, noticeTime, len(deaths))
			}
		}
		for i, ledger := range ledgers {
			if verdict, part := ledger.Verdict("s", []string{"first", "own1", "other"}, now); verdict == poison.Refused {
				t.Fatalf("instance %d refuses the part %s", i, part)
			}
		}
	})
}
