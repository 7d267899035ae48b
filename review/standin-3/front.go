package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// restartDelay is the short delay after which the platform starts an ended process again.
const restartDelay = 300 * time.Millisecond

// front is one entry instance: a process of the program under test.
type front struct {
	name, entry, ready, control, settings, log string
	cmd                                        *exec.Cmd
	ended                                      chan struct{}
}

// firstPort and ports are the range of ports of instances, below those that the system gives to
// outgoing connections.
const (
	firstPort = 12000
	ports     = 18000
)

// freeAddress returns an address at which nobody listens.
func freeAddress() (string, error) {
	for {
		listener, err := net.Listen("tcp", fmt.Sprintf("127.0.0.1:%d", firstPort+rand.IntN(ports)))
		if errors.Is(err, syscall.EADDRINUSE) {
			continue
		}
		if err != nil {
			return "", err
		}
		defer listener.Close()
		return listener.Addr().String(), nil
	}
}

var (
	placeholder = regexp.MustCompile(`\{\{[^}]*\}\}`)
	sectionTag  = regexp.MustCompile(`(?m)^.*\{\{[#/].*\}\}.*\n`)
)

// fillTemplate fills the project's template of settings as the platform does. All sections of it
// are rendered.
func fillTemplate(template string, fields map[string]any) (string, error) {
	template = sectionTag.ReplaceAllString(template, "")
	var failed error
	text := placeholder.ReplaceAllStringFunc(template, func(tag string) string {
		name, asJSON := strings.CutSuffix(strings.Trim(tag, "{}"), "|json")
		value, ok := fields[name]
		if !ok {
			failed = fmt.Errorf("template has the unknown field %q", name)
			return ""
		}
		if !asJSON {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			failed = err
		}
		return string(encoded)
	})
	return text, failed
}

// startFronts writes the settings of instances and starts them.
func startFronts(count int, folder, template string, fields map[string]any) ([]*front, error) {
	var fronts []*front
	for n := range count {
		f := &front{name: fmt.Sprintf("front-%d", n+1)}
		var addresses []string
		for range 5 {
			address, err := freeAddress()
			if err != nil {
				return nil, err
			}
			addresses = append(addresses, address)
		}
		f.entry, f.ready, f.control = addresses[0], addresses[1], addresses[2]
		f.settings, f.log = filepath.Join(folder, f.name+".jsonc"), filepath.Join(folder, f.name+".out")
		own := map[string]any{
			"nodeName": f.name, "zone": fmt.Sprintf("z%d", n%3+1), "listen.front": addresses[0], "listen.ready": addresses[1], "listen.control": addresses[2],
			"listen.directory": addresses[3], "ip": "127.0.0.1", "internalPorts.0": strings.TrimPrefix(addresses[4], "127.0.0.1:"),
		}
		fronts = append(fronts, f)
		seeds := []string{}
		for _, other := range fronts[:min(len(fronts), 3)] {
			seeds = append(seeds, other.control)
		}
		own["seedNodes"] = seeds
		for name, value := range fields {
			own[name] = value
		}
		text, err := fillTemplate(template, own)
		if err != nil {
			return nil, err
		}
		if err := os.WriteFile(f.settings, []byte(text), 0o600); err != nil {
			return nil, err
		}
	}
	for _, f := range fronts {
		if err := f.start(); err != nil {
			return fronts, err
		}
	}
	return fronts, nil
}

// start runs the program of the deploy file.
func (f *front) start() error {
	out, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer out.Close()
	f.cmd = exec.Command("target/cardfront", "serve", "--settings", f.settings)
	f.cmd.Stdout, f.cmd.Stderr = out, out
	f.cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.cmd.Start(); err != nil {
		return err
	}
	f.ended = make(chan struct{})
	go func(cmd *exec.Cmd, ended chan struct{}) {
		_ = cmd.Wait()
		close(ended)
	}(f.cmd, f.ended)
	return nil
}

// restart stops the process with SIGTERM, and after the grace time with SIGKILL, and starts it
// again.
func (f *front) restart(grace time.Duration) error {
	_ = f.cmd.Process.Signal(syscall.SIGTERM)
	select {
	case <-f.ended:
	case <-time.After(grace):
		_ = f.cmd.Process.Kill()
		<-f.ended
	}
	time.Sleep(restartDelay)
	return f.start()
}

// terminate sends SIGTERM.
func (f *front) terminate() { _ = f.cmd.Process.Signal(syscall.SIGTERM) }

// end kills the process.
func (f *front) end() {
	_ = f.cmd.Process.Kill()
	<-f.ended
}

func (f *front) kill() {
	if f.cmd != nil && f.cmd.Process != nil {
		_ = f.cmd.Process.Kill()
		<-f.ended
	}
}

var prober = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *front) isReady() bool {
	response, err := prober.Get("http://" + f.ready + "/readiness")
	if err != nil {
		return false
	}
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}
