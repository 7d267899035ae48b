package ctrl

import (
	"context"
	"time"
)

// leavePollInterval is the time between two checks whether holds remain.
const leavePollInterval = 50 * time.Millisecond

// Leave marks this instance as leaving, so that it gets no new callers and hands
// its holds over. It returns when no holds remain or ctx is done.
func (l *Loop) Leave(ctx context.Context) error {
	ticker := time.NewTicker(leavePollInterval)
	defer ticker.Stop()
	for {
		e := leaveRequested{reply: make(chan int, 1)}
		if err := l.post(ctx, e); err != nil {
			return err
		}
		held, err := await(ctx, l, e.reply)
		if err != nil || held == 0 {
			return err
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-ticker.C:
		}
	}
}

// leaveRequested starts handing over and asks for the number of remaining holds.
type leaveRequested struct {
	reply chan int
}

func (e leaveRequested) apply(l *Loop, now time.Time) {
	if !l.leaving {
		l.leaving = true
		l.peers.Leave()
		l.heartbeatAt = time.Time{}
		l.dirty = true
		l.checkHolds(now)
	}
	e.reply <- len(l.cells) + len(l.shards)
}
