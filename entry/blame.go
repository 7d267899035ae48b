package entry

import (
	"context"
	"fmt"
	"slices"
	"time"

	"cardamomcourse.example/cardamom/cells"
	"cardamomcourse.example/cardamom/pause"
)

const (
	// blameWait is how long an upstream is asked whether it still lives.
	blameWait = 2 * time.Second
	// blamePause is the pause between two questions.
	blamePause = 100 * time.Millisecond
)

// blame finds out whether the upstream died while it ran the job, and if so
// counts the death against the job. A connection that broke while the upstream
// lives on is nobody's fault.
func (s *Server) blame(ctx context.Context, j *job, replica cells.Replica) {
	if ctx.Err() != nil {
		return
	}
	limited, cancel := context.WithTimeout(ctx, blameWait)
	defer cancel()
	death := j.death(replica)
	for {
		report, err := s.options.Reporter.Report(limited, replica.Address)
		if err == nil && report.Incarnation == replica.Incarnation {
			return
		}
		if err == nil {
			break
		}
		if !pause.For(limited, blamePause) {
			break
		}
		if ctx.Err() != nil {
			return
		}
	}
	s.options.Logger.Warn("upstream_died", "upstream", replica.Upstream, "model", j.model.ID(), "fingerprint", j.fingerprint)
	s.options.Ledger.Blame(j.fingerprint, death, time.Now())
}

// death names the end of the upstream run that the job was on. The view may
// still show an earlier run; a job that has already seen that one die was on
// its successor.
func (j *job) death(replica cells.Replica) string {
	death := fmt.Sprintf("%s/%d", replica.Upstream, replica.Incarnation)
	for slices.Contains(j.deaths, death) {
		death += "+"
	}
	j.deaths = append(j.deaths, death)
	return death
}
