package host

import (
	"fmt"
	"os"
	"strings"

	"github.com/rotisserie/eris"
)

// PeakMemory returns the greatest resident memory in bytes that the instance's process has
// had so far.
func (i *Instance) PeakMemory() (int64, error) {
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", i.cmd.Process.Pid))
	if err != nil {
		return 0, eris.Wrap(err, "read process status")
	}
	_, rest, ok := strings.Cut(string(body), "VmHWM:")
	if !ok {
		return 0, eris.New("process status has no VmHWM")
	}
	var kilobytes int64
	if _, err := fmt.Sscan(rest, &kilobytes); err != nil {
		return 0, eris.Wrap(err, "read VmHWM")
	}
	return kilobytes << 10, nil
}

// OpenFiles returns how many descriptors the instance's process has open.
func (i *Instance) OpenFiles() (int, error) {
	entries, err := os.ReadDir(fmt.Sprintf("/proc/%d/fd", i.cmd.Process.Pid))
	return len(entries), eris.Wrap(err, "list descriptors")
}
