package ctrl

import (
	"context"
	"time"
)

// leavePoll is the time between two looks at what is still held.
const leavePoll = 50 * time.Millisecond

// Leave makes this instance take no new callers and hand over what it holds.
// It returns when nothing is held any more or ctx ends.
func (l *Loop) Leave(ctx context.Context) error {
	ticker := time.NewTicker(leavePoll)
	defer ticker.Stop()
	for {
		e := leaveAsked{reply: make(chan int, 1)}
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

// leaveAsked starts the hand-over and asks how much is still held.
type leaveAsked struct {
	reply chan int
}

func (e leaveAsked) apply(l *Loop, now time.Time) {
	if !l.leaving {
		l.leaving = true
		l.peers.Leave()
		l.beaten = time.Time{}
		l.dirty = true
		l.lookAtHolds(now)
	}
	e.reply <- len(l.cells) + len(l.shards)
}
