package main

import (
	"math/rand/v2"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

// soakConnections is the greatest number of connections that an upstream at its limit keeps.
const soakConnections = 6

// standStill makes an upstream stand still as a paused process does, while the kernel accepts
// connections and requests for it.
func standStill(s *soak, random *rand.Rand, _ time.Duration) func() {
	upstream := s.randomUpstream(random)
	upstream.StandStill()
	return upstream.GoOn
}

// limitConnections makes an upstream reset the connections beyond a few.
func limitConnections(s *soak, random *rand.Rand, _ time.Duration) func() {
	upstream := s.randomUpstream(random)
	upstream.LimitConnections(1 + random.IntN(soakConnections))
	return func() { upstream.LimitConnections(0) }
}

// resetAnswers makes an upstream reset its connection right after some of its answers.
func resetAnswers(s *soak, random *rand.Rand, _ time.Duration) func() {
	upstream := s.randomUpstream(random)
	for range 12 {
		upstream.AppendBehaviours([]host.Behaviour{host.AnswerReset, host.CloseEarly, host.Answer}[random.IntN(3)])
	}
	return nil
}

// repeatAnswers makes an upstream turn requests away, and write some of its answers once more
// where the next one is expected.
func repeatAnswers(s *soak, random *rand.Rand, _ time.Duration) func() {
	return repeat(s, host.Repetition{Refused: 0.6 * random.Float64(), Repeated: 0.3 * random.Float64(), Unnamed: random.Float64(), Random: random})
}

// repeatBrokenAnswers is repeatAnswers with copies that break off before the next answer.
func repeatBrokenAnswers(s *soak, random *rand.Rand, _ time.Duration) func() {
	return repeat(s, host.Repetition{Refused: 0.6 * random.Float64(), Repeated: 0.5 + 0.5*random.Float64(), Unnamed: random.Float64(), Cut: 1, Random: random})
}

func repeat(s *soak, repetition host.Repetition) func() {
	upstream := s.randomUpstream(repetition.Random)
	upstream.Repeat(repetition)
	return func() { upstream.Repeat(host.Repetition{}) }
}
