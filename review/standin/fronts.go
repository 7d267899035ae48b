package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strconv"
	"strings"
	"sync"
	"syscall"
	"time"
)

const (
	memoryMB = 284
	graceS   = 8
)

// front is a process of the system.
type front struct {
	name     string
	settings string
	log      string
	entry    string
	ready    string
	sync     string
	// toStore is the process's path to the store.
	toStore *path
	mu      sync.Mutex
	cmd     *exec.Cmd
	done    chan struct{}
}

// site is a small deployment: the system's processes, and the stand-ins of its platform.
type site struct {
	store  *store
	fronts []*front
	folder string
}

// newSite writes the settings of so many processes by the template of the deploy file.
func newSite(count int) *site {
	folder, err := os.MkdirTemp("", "review")
	if err != nil {
		fail("folder: %v", err)
	}
	s := &site{store: newStore(), folder: folder}
	template, err := os.ReadFile("deploy/cardfront.jsonc.tmpl")
	if err != nil {
		fail("template: %v", err)
	}
	zones := []string{"psyrri-hall", "marousi-hall", "piraeus-hall"}
	for n := range count {
		f := &front{name: fmt.Sprintf("front-%s-%d", zones[n%len(zones)], n/len(zones)+1)}
		f.settings, f.log = filepath.Join(folder, f.name+".jsonc"), filepath.Join(folder, f.name+".log")
		f.entry, f.ready, f.sync = freeAddress(), freeAddress(), freeAddress()
		f.toStore = newPath(s.store.address)
		s.fronts = append(s.fronts, f)
	}
	var seeds []string
	for _, f := range s.fronts[:min(3, len(s.fronts))] {
		seeds = append(seeds, f.sync)
	}
	for n, f := range s.fronts {
		_, port, _ := strings.Cut(freeAddress(), ":")
		metrics, _ := strconv.Atoi(port)
		fields := map[string]any{
			"nodeName": f.name, "ip": "127.0.0.1", "zone": zones[n%len(zones)], "seedNodes": seeds, "internalPorts": []int{metrics, metrics},
			"limits":   map[string]any{"memoryMb": memoryMB, "cpuShare": 0.4, "linkMbps": 1000.0},
			"platform": map[string]any{"address": f.toStore.address},
			"listen":   map[string]any{"front": f.entry, "ready": f.ready, "control": f.sync, "directory": freeAddress()},
			"bounds": map[string]any{
				"leaseMs": 3000, "fencingEnforced": true, "graceS": graceS, "configApplyMs": 2000, "drainMs": 2000,
				"retryBudgetRatio": 0.2, "budgetWindowS": 10, "retryBudgetSlack": 56,
			},
		}
		if err := os.WriteFile(f.settings, []byte(render(string(template), fields)), 0o600); err != nil {
			fail("settings: %v", err)
		}
	}
	return s
}

var placeholder = regexp.MustCompile(`\{\{([A-Za-z0-9_.]+)(\|json)?\}\}`)

// render fills in the placeholders of a template.
func render(template string, fields map[string]any) string {
	return placeholder.ReplaceAllStringFunc(template, func(text string) string {
		match := placeholder.FindStringSubmatch(text)
		var value any = fields
		for _, name := range strings.Split(match[1], ".") {
			switch v := value.(type) {
			case map[string]any:
				value = v[name]
			case []int:
				value = v[0]
			}
		}
		if match[2] == "" {
			return fmt.Sprint(value)
		}
		body, _ := json.Marshal(value)
		return string(body)
	})
}

// freeAddress returns an address outside the range from which the system draws the ports of
// connections, so that it is still free when a process listens there. Cases that run at the
// same time mostly use other ports.
func freeAddress() string {
	for range 1000 {
		address := fmt.Sprintf("127.0.0.1:%d", 20000+os.Getpid()%40*250+rand.IntN(250))
		if given[address] {
			continue
		}
		listener, err := net.Listen("tcp", address)
		if err != nil {
			continue
		}
		_ = listener.Close()
		given[address] = true
		return address
	}
	fail("no free port")
	return ""
}

// given are the addresses that freeAddress returned.
var given = make(map[string]bool)

// start starts the process with the command of the deploy file and its own settings file.
func (f *front) start() {
	file, err := os.OpenFile(f.log, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		fail("log: %v", err)
	}
	defer file.Close()
	cmd := exec.Command("target/cardfront", "serve", "--settings", f.settings)
	cmd.Stdout, cmd.Stderr = file, file
	cmd.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		fail("start %s: %v", f.name, err)
	}
	done := make(chan struct{})
	go func() {
		_ = cmd.Wait()
		close(done)
	}()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cmd, f.done = cmd, done
}

// signal sends a signal to the process.
func (f *front) signal(signal syscall.Signal) {
	f.mu.Lock()
	defer f.mu.Unlock()
	log.addf("platform sends %v to %s", signal, f.name)
	_ = f.cmd.Process.Signal(signal)
}

// ended returns a channel that is closed when the process has ended.
func (f *front) ended() <-chan struct{} {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.done
}

// isReady asks the readiness check.
func (f *front) isReady() bool {
	client := http.Client{Timeout: time.Second}
	response, err := client.Get("http://" + f.ready + "/readiness")
	if err != nil {
		return false
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
	return response.StatusCode == http.StatusOK
}

// startAll starts all processes and waits until they are ready.
func (s *site) startAll() {
	for _, f := range s.fronts {
		f.start()
	}
	for _, f := range s.fronts {
		until := time.Now().Add(20 * time.Second)
		for !f.isReady() {
			if time.Now().After(until) {
				fail("%s is not ready", f.name)
			}
			time.Sleep(50 * time.Millisecond)
		}
	}
}

// close ends all processes and removes the folder.
func (s *site) close() {
	for _, f := range s.fronts {
		if f.cmd != nil {
			_ = f.cmd.Process.Kill()
			<-f.ended()
		}
	}
	if os.Getenv("KEEP") != "" {
		fmt.Println("kept", s.folder)
		return
	}
	_ = os.RemoveAll(s.folder)
}
