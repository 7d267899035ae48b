package fleet

import (
	"bufio"
	"encoding/json"
	"os"
	"os/exec"
	"path/filepath"
	"syscall"
	"time"

	"github.com/rotisserie/eris"
)

// startTimeout is how long a process may take to print its first line, which it
// prints once it listens.
const startTimeout = 10 * time.Second

// Process is one started program.
type Process struct {
	id      string
	program string
	args    []string
	log     string
	cmd     *exec.Cmd
	done    chan struct{}
}

// ID returns the process's id in the fleet.
func (p *Process) ID() string { return p.id }

// Done returns a channel that is closed when the process has ended.
func (p *Process) Done() <-chan struct{} { return p.done }

// launch starts a program. Unless firstLine is nil, it waits for the first line
// that the program prints and decodes it as JSON into firstLine.
func launch(id, program string, args []string, log string, firstLine any) (*Process, error) {
	p := &Process{id: id, program: program, args: args, log: log, done: make(chan struct{})}
	file, err := os.OpenFile(log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, eris.Wrap(err, "open log")
	}
	defer file.Close()
	p.cmd = exec.Command(program, args...)
	p.cmd.Stderr = file
	p.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	reader, writer, err := os.Pipe()
	if err != nil {
		return nil, eris.Wrap(err, "open pipe")
	}
	p.cmd.Stdout = writer
	err = p.cmd.Start()
	_ = writer.Close()
	if err != nil {
		_ = reader.Close()
		return nil, eris.Wrapf(err, "start %s", filepath.Base(program))
	}
	go func() {
		_ = p.cmd.Wait()
		close(p.done)
	}()
	if firstLine == nil {
		_ = reader.Close()
		return p, nil
	}
	return p, p.readFirstLine(reader, firstLine)
}

func (p *Process) readFirstLine(reader *os.File, firstLine any) error {
	defer reader.Close()
	if err := reader.SetReadDeadline(time.Now().Add(startTimeout)); err != nil {
		return eris.Wrap(err, "set deadline")
	}
	line, err := bufio.NewReader(reader).ReadBytes('\n')
	if err != nil {
		return eris.Wrapf(err, "%s printed no first line, see %s", p.id, p.log)
	}
	return eris.Wrapf(json.Unmarshal(line, firstLine), "decode first line of %s", p.id)
}

// signal sends a signal to the process.
func (p *Process) signal(signal syscall.Signal) error {
	return eris.Wrapf(p.cmd.Process.Signal(signal), "signal %s", p.id)
}

// kill sends SIGKILL and waits until the process has ended.
func (p *Process) kill() {
	_ = p.signal(syscall.SIGKILL)
	<-p.done
}
