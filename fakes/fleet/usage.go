package fleet

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"
)

const (
	// clockTick is the unit of processor time in /proc/PID/stat.
	clockTick = 10 * time.Millisecond
	// userField and systemField are the positions of user and system time in
	// /proc/PID/stat, counted from the field after the program's name.
	userField   = 11
	systemField = 12
	// residentField is the position of the number of resident pages.
	residentField = 21
)

// CPUTime returns the processor time a process has used.
func (f *Fleet) CPUTime(id string) (time.Duration, error) {
	fields, err := f.stat(id)
	if err != nil {
		return 0, err
	}
	user, err := strconv.ParseInt(fields[userField], 10, 64)
	if err != nil {
		return 0, eris.Wrap(err, "parse user time")
	}
	system, err := strconv.ParseInt(fields[systemField], 10, 64)
	return time.Duration(user+system) * clockTick, eris.Wrap(err, "parse system time")
}

// ResidentMemory returns the resident memory of a process in bytes.
func (f *Fleet) ResidentMemory(id string) (int64, error) {
	fields, err := f.stat(id)
	if err != nil {
		return 0, err
	}
	pages, err := strconv.ParseInt(fields[residentField], 10, 64)
	return pages * int64(os.Getpagesize()), eris.Wrap(err, "parse resident pages")
}

func (f *Fleet) stat(id string) ([]string, error) {
	p, ok := f.Process(id)
	if !ok {
		return nil, eris.Errorf("no process %s", id)
	}
	body, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", p.cmd.Process.Pid))
	if err != nil {
		return nil, eris.Wrap(err, "read process state")
	}
	_, rest, _ := strings.Cut(string(body), ") ")
	return strings.Fields(rest), nil
}
