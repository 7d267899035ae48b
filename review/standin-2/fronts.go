package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// graceS and drainMS are bounds of the deployment.
const (
	graceS  = 8
	drainMS = 2000
)

// front is one instance of the program under test.
type front struct {
	name, settings             string
	entry, ready, lookup, sync string
	command                    *exec.Cmd
	ended                      chan struct{}
}

// freePort returns a port that nobody listens at.
func freePort() (string, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer listener.Close()
	return strconv.Itoa(listener.Addr().(*net.TCPAddr).Port), nil
}

// startFronts starts instances with the command and the template of the deploy file.
func startFronts(count int, store, folder string) ([]*front, error) {
	var fronts []*front
	var seeds []string
	for n := range count {
		ports := make([]string, 5)
		for i := range ports {
			port, err := freePort()
			if err != nil {
				return nil, err
			}
			ports[i] = port
		}
		f := &front{
			name: fmt.Sprintf("front-%d", n+1), settings: filepath.Join(folder, fmt.Sprintf("node-%d.toml", n+1)),
			entry: "127.0.0.1:" + ports[0], ready: "127.0.0.1:" + ports[1], lookup: "127.0.0.1:" + ports[2], sync: "127.0.0.1:" + ports[3],
		}
		fronts, seeds = append(fronts, f), append(seeds, f.sync)
		fields := map[string]any{
			"nodeName": f.name, "zone": "here", "ip": "127.0.0.1", "seedNodes": seeds[:min(len(seeds), 3)], "internalPorts": []any{json.Number(ports[4])},
			"listen":   map[string]any{"front": f.entry, "ready": f.ready, "directory": f.lookup, "control": f.sync},
			"limits":   map[string]any{"cpuShare": 0.4, "memoryMb": 284, "linkMbps": 1000.0},
			"platform": map[string]any{"address": store},
			"bounds": map[string]any{
				"leaseMs": 3000, "fencingEnforced": true, "graceS": graceS, "configApplyMs": 2000, "drainMs": drainMS,
				"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 52,
			},
		}
		if err := render("deploy/cardfront.jsonc.tmpl", f.settings, fields); err != nil {
			return nil, err
		}
	}
	for _, f := range fronts {
		if err := f.start(folder); err != nil {
			return fronts, err
		}
	}
	for _, f := range fronts {
		if err := f.awaitReady(); err != nil {
			return fronts, err
		}
	}
	return fronts, nil
}

func (f *front) start(folder string) error {
	log, err := os.OpenFile(filepath.Join(folder, f.name+".out"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	f.command = exec.Command("target/cardfront", "serve", "--settings", f.settings)
	f.command.Stdout, f.command.Stderr = log, log
	f.command.Env = append(os.Environ(), "CARDAMOMCOURSE_NODE_FILE="+f.settings)
	f.command.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := f.command.Start(); err != nil {
		return err
	}
	command, ended := f.command, make(chan struct{})
	f.ended = ended
	go func() {
		_ = command.Wait()
		close(ended)
	}()
	return nil
}

// restart starts the process again after it was killed.
func (f *front) restart(folder string) error {
	if err := f.start(folder); err != nil {
		return err
	}
	return f.awaitReady()
}

// stop kills the process.
func (f *front) stop() {
	if f.command != nil && f.command.Process != nil {
		_ = f.command.Process.Kill()
		<-f.ended
	}
}

func (f *front) awaitReady() error {
	client := &http.Client{Timeout: time.Second}
	for end := time.Now().Add(15 * time.Second); time.Now().Before(end); time.Sleep(50 * time.Millisecond) {
		response, err := client.Get("http://" + f.ready + "/readiness")
		if err != nil {
			continue
		}
		_ = response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return fmt.Errorf("%s is not ready", f.name)
}

var (
	section     = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/[^}]+\}\}`)
	placeholder = regexp.MustCompile(`\{\{([^}|]+)(\|json)?\}\}`)
)

// render fills in the template as the platform does, as far as the template needs it.
func render(template, path string, fields map[string]any) error {
	text, err := os.ReadFile(template)
	if err != nil {
		return err
	}
	find := func(name string) any {
		var value any = fields
		for _, part := range strings.Split(name, ".") {
			switch known := value.(type) {
			case map[string]any:
				value = known[part]
			case []any:
				index, err := strconv.Atoi(part)
				if err != nil || index >= len(known) {
					return nil
				}
				value = known[index]
			default:
				return nil
			}
		}
		return value
	}
	filled := section.ReplaceAllStringFunc(string(text), func(match string) string {
		parts := section.FindStringSubmatch(match)
		if value := find(parts[1]); value == nil || value == false {
			return ""
		}
		return parts[2]
	})
	filled = placeholder.ReplaceAllStringFunc(filled, func(match string) string {
		parts := placeholder.FindStringSubmatch(match)
		value := find(parts[1])
		if value == nil {
			return ""
		}
		if parts[2] == "" {
			return fmt.Sprint(value)
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	})
	return os.WriteFile(path, []byte(filled), 0o600)
}
