package host

import (
	"slices"
	"strings"
	"time"
)

// CrashOn makes the upstream crash each time it begins to write an answer to a prompt
// that has one of the parts, other than as its last part.
func (u *Upstream) CrashOn(parts ...string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.crashing = parts
}

// Crashes returns how often the upstream has crashed.
func (u *Upstream) Crashes() int {
	u.mu.Lock()
	defer u.mu.Unlock()
	return len(u.crashes)
}

// Crashed reports whether the upstream has crashed, and when.
func (u *Upstream) Crashed() (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashedAt, len(u.crashes) > 0
}

// CrashedOn reports whether the upstream has crashed on a part, and when it crashed last.
func (u *Upstream) CrashedOn(part string) (time.Time, bool) {
	u.mu.Lock()
	defer u.mu.Unlock()
	return u.crashedAt, slices.Contains(u.crashes, part)
}

// End ends the upstream as its process would: no new connection is accepted before the
// open ones break, and what it has written arrives.
func (u *Upstream) End() {
	_ = u.server.Listener.Close()
	if u.link != nil {
		_ = u.link.listener.Close()
	}
	go u.stop()
	<-u.closed
}

// sharedPartOf returns the first of the parts of a prompt, as its header lists them, that
// is among the given ones and not the prompt's last, empty if there is none.
func sharedPartOf(prefix string, parts []string) string {
	list := strings.Split(prefix, ",")
	for _, part := range list[:len(list)-1] {
		if id, _, _ := strings.Cut(part, ":"); slices.Contains(parts, id) {
			return id
		}
	}
	return ""
}
