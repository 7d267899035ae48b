package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/cells"
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
