package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/poison"
	"cardamomcourse.example/cardamom/sleep"
)

const (
	// deathCheckTimeout bounds how long an upstream is asked for its report after a
	// request broke there.
	deathCheckTimeout = 2 * time.Second
	// deathCheckInterval is the pause between two requests for the report.
	deathCheckInterval = 100 * time.Millisecond
)

// recordDeath checks whether the upstream process died while it ran the job, and
// if so counts the death against the job's fingerprint. A broken connection to an
// upstream that is still running doesn't count.
func (s *Server) recordDeath(ctx context.Context, j *job, replica cells.Replica) {
	if ctx.Err() != nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, deathCheckTimeout)
	defer cancel()
	death := j.deathID(replica)
	for {
		report, err := s.options.Reporter.Report(limited, replica.Address)
		if err == nil && report.Incarnation == replica.Incarnation {
			return
		}
		if err == nil {
			break
		}
		if !sleep.For(limited, deathCheckInterval) {
			break
		}
		if ctx.Err() != nil {
			return
		}
	}
	s.options.Logger.Warn("upstream_died", "upstream", replica.Upstream, "model", j.model.ID(), "fingerprint", j.fingerprint)
	s.options.Ledger.RecordDeath(j.fingerprint, death, time.Now())
}

// recordSurvival records that the job got the beginning of its answer, so that upstreams have not
// died of its like.
func (s *Server) recordSurvival(j *job) {
	if s.options.Ledger.RecordSurvival(j.fingerprint) {
		s.options.Logger.Warn("request_cleared", "model", j.model.ID(), "fingerprint", j.fingerprint)
	}
}

// admitSuspect reports whether the job may be sent as far as upstreams that died of its like are
// concerned. One that is refused may be sent for trial, by the first instance for its model.
func (s *Server) admitSuspect(j *job) bool {
	if s.options.Ledger.Verdict(j.fingerprint, j.arrived) != poison.Refused {
		return true
	}
	if !s.options.Views.Load().IsFirst(j.model) {
		return false
	}
	if j.trial, j.onTrial = s.options.Ledger.TakeTrial(j.fingerprint, time.Now()); !j.onTrial {
		return false
	}
	s.options.Logger.Warn("request_tried", "model", j.model.ID(), "fingerprint", j.fingerprint)
	return true
}

// deathID identifies the death of the upstream process that ran the job by the
// upstream and its incarnation. The view may still show the incarnation of an
// earlier process. If the job has already seen that process die, the death is of
// its successor and gets an additional "+".
func (j *job) deathID(replica cells.Replica) string {
	death := fmt.Sprintf("%s/%d", replica.Upstream, replica.Incarnation)
	for slices.Contains(j.deaths, death) {
		death += "+"
	}
	j.deaths = append(j.deaths, death)
	return death
}
