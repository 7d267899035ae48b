package main

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/fakes/host"
)

const (
	// soakPartitionSpans is how many times as long as other faults a partition lasts, as
	// the platform counts nothing in its first 3 s.
	soakPartitionSpans = 4
	// soakPartitionLeft is how many first tries may fail at partitioned instances, and one in
	// soakPartitionShare of all.
	soakPartitionLeft  = 10
	soakPartitionShare = 50
)

// partitioned is a time in which an instance reached no upstream.
type partitioned struct {
	address  string
	from, to time.Time
}

// partition cuts some instances off from all upstreams, at least one of them in most cases
// not.
func partition(s *soak, random *rand.Rand, span time.Duration) func() {
	fault := []host.LinkFault{host.Silent, host.Resetting, host.Hanging}[random.IntN(3)]
	s.mu.Lock()
	defer s.mu.Unlock()
	var cut []*host.Instance
	var times []*partitioned
	for _, n := range random.Perm(len(s.site.Instances))[:1+random.IntN(len(s.site.Instances))] {
		instance := s.site.Instances[n]
		if err := s.site.CutOff(instance, fault); err != nil {
			s.wire.Violations = append(s.wire.Violations, err.Error())
			continue
		}
		cut = append(cut, instance)
		times = append(times, &partitioned{address: instance.EntryAddress, from: time.Now()})
	}
	s.partitions = append(s.partitions, times...)
	return func() {
		time.Sleep((soakPartitionSpans - 1) * span)
		s.mu.Lock()
		defer s.mu.Unlock()
		for n, instance := range cut {
			times[n].to = time.Now()
			if s.isCutNow(instance.EntryAddress) {
				continue
			}
			if err := s.site.CutOff(instance, host.NoLinkFault); err != nil {
				s.wire.Violations = append(s.wire.Violations, err.Error())
			}
		}
	}
}

// isCutNow reports whether a partition of an instance goes on. s.mu must be held.
func (s *soak) isCutNow(address string) bool {
	return slices.ContainsFunc(s.partitions, func(p *partitioned) bool { return p.address == address && p.to.IsZero() })
}

// checkPartitions checks that while some instances reach no upstream, from 3 s after that began,
// first tries there are served two thirds as often as at the others.
func (s *soak) checkPartitions() {
	for _, p := range s.partitions {
		sent, served := map[bool]int{}, map[bool]int{}
		for _, e := range s.sent {
			if e.takenUp != nil || e.part != "" || e.isHot || e.invalidKey || e.began.Sub(p.from) < soakContact || !e.ended.Before(p.to) || !s.isInTouch(e) {
				continue
			}
			began, isCut := s.partitionedSince(e.address, e.began, e.ended)
			if isCut && e.began.Sub(began) < soakContact || s.areAllPartitioned(e.began, e.ended) {
				continue
			}
			sent[isCut]++
			if e.answered && e.response.Status == http.StatusOK {
				served[isCut]++
			}
		}
		failed := sent[true] - served[true]
		if 3*served[true]*sent[false] < 2*served[false]*sent[true] && failed > soakPartitionLeft+(sent[true]+sent[false])/soakPartitionShare {
			s.addViolation(fmt.Sprintf("partitioned instances served %d of %d first tries, the others %d of %d", served[true], sent[true], served[false], sent[false]))
			return
		}
	}
}

// partitionedSince returns since when an instance reached no upstream at some time between
// two, by the latest partition, and whether it did not.
func (s *soak) partitionedSince(address string, from, to time.Time) (since time.Time, isCut bool) {
	for _, p := range s.partitions {
		if p.address == address && p.from.Before(to) && (p.to.IsZero() || p.to.After(from)) && p.from.After(since) {
			since, isCut = p.from, true
		}
	}
	return since, isCut
}

// areAllPartitioned reports whether no instance reached an upstream at some time between two,
// so that none could serve for another.
func (s *soak) areAllPartitioned(from, to time.Time) bool {
	for _, instance := range s.site.Instances {
		if _, isCut := s.partitionedSince(instance.EntryAddress, from, to); !isCut {
			return false
		}
	}
	return true
}
