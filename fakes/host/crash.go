package host

import (
	"slices"
	"strings"
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
	return u.crashes
}

// crash ends the upstream as its process would: no new connection is accepted before the
// open ones break.
func (u *Upstream) crash() {
	u.mu.Lock()
	u.crashes++
	u.mu.Unlock()
	_ = u.server.Listener.Close()
	go u.Close()
	<-u.closed
}

// hasSharedPart reports whether a prompt, as its header lists its parts, has one of the
// given ones before its last part.
func hasSharedPart(prefix string, parts []string) bool {
	list := strings.Split(prefix, ",")
	return slices.ContainsFunc(list[:len(list)-1], func(part string) bool {
		id, _, _ := strings.Cut(part, ":")
		return slices.Contains(parts, id)
	})
}
